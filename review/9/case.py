"""A runner leaves while the store is down. It says so in all its answers. Its requesters keep sending; the runner serves
for drainMs and a little longer, and exits.

TROUBLE=0 is the same without the outage: the runner's entry is removed at the same moment, and the store says so."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from stand import Runner, System, fetch, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
KEY = "key-of-tenant"
DOWN_S = 4.5
DRAIN_S = 2.0
LINGER_S = 1.0
CALLERS = 24
CONFIG = {
    "version": 7,
    "routes": [{"name": "dispatch", "host": "agents.example", "pathPrefix": "/dispatch/",
                "routeType": "non_idempotent", "timeoutMs": 3000, "sloMs": 400, "priority": 2, "service": "tools",
                "maxAttempts": 1, "retainContext": False, "retentionS": 0, "public": False, "sticky": False,
                "resumable": False}],
    "services": [{"name": "tools", "healthPath": "/health", "maxConns": 110, "coldStartS": 0.0, "coldPerS": 0.0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "tenant", "apiKeys": [KEY], "priority": 1, "ratePerS": 0, "burst": 0}],
}


class Caller:
    def __init__(self, system, instance):
        self.system, self.instance = system, instance
        self.calls = []

    async def run(self, until):
        while self.system.record.now() < until:
            request = self.system.request_id()
            headers = {"Host": "agents.example", "Request-Id": request, "Deadline-Ms": "3000",
                       "Authorization": "Bearer " + KEY}
            call = {"request": request, "sent": self.system.record.now(), "status": 0, "leaving": False,
                    "instance": self.instance.name}
            self.system.record.write(f"sent {request} to {self.instance.name}")
            try:
                answer = await fetch(self.instance.front, "POST", "/dispatch/1", headers, b"{}", 4)
                call["status"] = answer["status"]
                call["leaving"] = answer["headers"].get("server-leaving") == "1"
                call["seal"] = answer["headers"].get("server-seal", "")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            call["answered"] = self.system.record.now()
            self.system.record.write(
                f"answered {request} status {call['status']} leaving {int(call['leaving'])}")
            self.calls.append(call)
            await asyncio.sleep(0.05)


async def case():
    system = System(HERE, SEED)
    record = system.record
    runners = [Runner(system.store, record, f"t-{zone}-{number}", "tools", zone, slots=6, work_s=0.08)
               for zone in system.zones for number in (1, 2)]
    leaver = runners[0]
    try:
        await system.start(CONFIG, runners)
        callers = [Caller(system, system.instances[index % len(system.instances)]) for index in range(CALLERS)]
        running = asyncio.gather(*(caller.run(record.now() + 8.0) for caller in callers))
        await asyncio.sleep(1)
        if TROUBLE:
            record.write(f"trouble: the store is down for {DOWN_S} s")
            system.store.down = "busy"
            asyncio.get_running_loop().call_later(DOWN_S, setattr, system.store, "down", None)
        await asyncio.sleep(0.3)
        record.write(f"{leaver.name} leaves: its entry is removed, and its answers say so")
        leaver.leaving = True
        await leaver.remove_entry()
        await asyncio.sleep(DRAIN_S + LINGER_S)
        record.write(f"{leaver.name} exits")
        leaver.exit()
        await running
        calls = {call["request"]: call for caller in callers for call in caller.calls}
        told = {}
        for call in calls.values():
            if call["leaving"]:
                told[call["instance"]] = min(call["answered"], told.get(call["instance"], 1e9))
        late = [calls[run["request"]] for run in leaver.runs if run["request"] in calls]
        late = [call for call in late if call["sent"] > told.get(call["instance"], 1e9) + DRAIN_S]
        cut = [call for call in late if call["status"] != 200]
        for call in late:
            record.write(f"{call['request']} was sent {call['sent'] - told[call['instance']]:.2f} s after "
                         f"{call['instance']} had passed on that {leaver.name} leaves; status {call['status']}")
        statuses = {}
        for call in calls.values():
            statuses[call["status"]] = statuses.get(call["status"], 0) + 1
        line = (f"DRAIN: {len(late)} requests sent over {DRAIN_S} s after Server-Leaving reached that runner, "
                f"{len(cut)} of them ended without its answer; statuses of all requests {statuses}")
        record.write(line)
        print(line)
        return bool(late)
    finally:
        await system.stop()


run_case(case)
