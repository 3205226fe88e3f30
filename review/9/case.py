"""A tenant sends as many requests as its allowance holds, within 1.4 s. Then all processes are killed at once and start again,
and the tenant goes on at one and a half times its rate. Counted is what arrives at the runners in any window.

TROUBLE=0 has the same traffic without the kill. USUAL=1 has the tenant send its usual 25 requests a second before."""
import asyncio
import bisect
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from stand import Runner, System, fetch, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
KEY = "key-of-tenant"
RATE_PER_S, BURST = 40, 40
WINDOW_S, OVERRUN, SLACK = 5, 0.1, 20
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
USUAL = os.environ.get("USUAL", "0") != "0"
# The site gives a tenant 1.6 times its usual rate, and its hot tenant sends 7.5 times its usual, 187 a second here.
USUAL_PER_S = RATE_PER_S / 1.6
BURST_REQUESTS = RATE_PER_S * WINDOW_S + BURST
BURST_S = 1.4
LATER_PER_S = 60
DOWN_S = 1.0
RUN_S = 6.5
CONFIG = {
    "version": 7,
    "routes": [{"name": "dispatch", "host": "agents.example", "pathPrefix": "/dispatch/",
                "routeType": "non_idempotent", "timeoutMs": 3000, "sloMs": 400, "priority": 2, "service": "tools",
                "maxAttempts": 1, "retainContext": False, "retentionS": 0, "public": False, "sticky": False,
                "resumable": False}],
    "services": [{"name": "tools", "healthPath": "/health", "maxConns": 110, "coldStartS": 0.0, "coldPerS": 0.0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "tenant", "apiKeys": [KEY], "priority": 1, "ratePerS": RATE_PER_S, "burst": BURST}],
}


class Tenant:
    def __init__(self, system):
        self.system, self.pick = system, random.Random(SEED)
        self.sent, self.statuses = {}, {}

    async def call(self):
        system = self.system
        request = system.request_id()
        instance = self.pick.choice(system.instances)
        headers = {"Host": "agents.example", "Request-Id": request, "Deadline-Ms": "3000",
                   "Authorization": "Bearer " + KEY}
        self.sent[request] = system.record.now()
        system.record.write(f"sent {request} to {instance.name}")
        status = 0
        try:
            status = (await fetch(instance.front, "POST", "/dispatch/1", headers, b"{}", 4))["status"]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.statuses[status] = self.statuses.get(status, 0) + 1
        system.record.write(f"answered {request} status {status}")

    async def send(self, per_s, until):
        """Sends at an even rate, and waits for the answers."""
        calls, due = [], self.system.record.now()
        while due < until:
            await asyncio.sleep(max(0, due - self.system.record.now()))
            calls.append(asyncio.ensure_future(self.call()))
            due += 1 / per_s
        return calls


async def case():
    system = System(HERE, SEED)
    record = system.record
    runners = [Runner(system.store, record, f"t-{zone}-{number}", "tools", zone, slots=40, work_s=0.01)
               for zone in system.zones for number in (1, 2)]
    try:
        await system.start(CONFIG, runners)
        tenant = Tenant(system)
        calls = []
        if USUAL:
            calls += await tenant.send(USUAL_PER_S, record.now() + WINDOW_S)
        else:
            await asyncio.sleep(WINDOW_S)
        began = record.now()
        calls += await tenant.send(BURST_REQUESTS / BURST_S, began + BURST_S)
        pressing = asyncio.ensure_future(tenant.send(LATER_PER_S, began + RUN_S))
        await asyncio.sleep(0.1)
        if TROUBLE:
            record.write("trouble: all processes are killed")
            await asyncio.gather(*(instance.kill() for instance in system.instances))
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*(instance.start(system.command) for instance in system.instances))
            record.write("all processes run again")
        calls += await pressing
        await asyncio.gather(*calls)
        sent, statuses = tenant.sent, tenant.statuses
        arrivals = sorted((run["at"], run["request"]) for runner in runners for run in runner.runs)
        times = [at for at, _ in arrivals]
        worst, worst_at = 0, 0.0
        for first, at in enumerate(times):
            last = bisect.bisect_left(times, at + WINDOW_S)
            # Requests that were both sent and run in the window.
            count = sum(1 for _, request in arrivals[first:last] if sent.get(request, 0) >= at)
            if count > worst:
                worst, worst_at = count, at
        before = sum(1 for at in times if began <= at < began + BURST_S + 0.1)
        line = (f"QUOTA: {worst} requests in the {WINDOW_S} s from {worst_at - began:.1f} s on, {BOUND:.0f} are allowed; "
                f"{before} ran from 0.0 s to {BURST_S + 0.1:.1f} s; statuses {statuses}")
        record.write(line)
        print(line)
        return worst > BOUND
    finally:
        await system.stop()


run_case(case)
