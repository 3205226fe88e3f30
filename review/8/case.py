"""A turn is answered whole while the store is down, and the conversation goes on through another zone. Half of the processes
are killed in the outage and start again. All is well for 12 s: the store is up, and the conversations go on. Then the
operator restarts all machines in turn (SIGTERM), while the conversations pause.

TROUBLE=0 has only the planned restart, TROUBLE=down the outage and the restart, TROUBLE=kill the kill and the restart."""
import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from stand import Runner, System, fetch, run_case

TROUBLE = os.environ.get("TROUBLE", "1")
DOWN = TROUBLE in ("1", "down")
KILL = TROUBLE in ("1", "kill")
SEED = int(os.environ.get("SEED", "1"))
KEY = "key-of-tenant"
EVENTS, TOKENS_PER_EVENT = 4, 23
CONVERSATIONS = 40
DOWN_S = 4.5
CALM_S = 12.0
GAP_S = 2.0
GRACE_S = 8.0
# The requesters of the site make two attempts at a turn, and send a turn that failed again at most twice.
TRIES = 6
AIM_S = 60.0
CONFIG = {
    "version": 7,
    "routes": [{"name": "chat", "host": "agents.example", "pathPrefix": "/chat/", "routeType": "stream",
                "timeoutMs": 3000, "sloMs": 200, "priority": 0, "service": "models", "maxAttempts": 2,
                "retainContext": True, "retentionS": 60.0, "public": False, "sticky": True, "resumable": False,
                "gapAimMs": 400}],
    "services": [{"name": "models", "healthPath": "/health", "maxConns": 180, "coldStartS": 0.0, "coldPerS": 0.0,
                  "engine": {"slots": 16, "kvCapacity": 534013, "tokensPerEvent": TOKENS_PER_EVENT}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "tenant", "apiKeys": [KEY], "priority": 1, "ratePerS": 0, "burst": 0}],
}


class Conversation:
    def __init__(self, system, name):
        self.system, self.name = system, name
        self.last, self.answered_at, self.aim = None, 0.0, system.record.now() + AIM_S
        self.tries = []

    async def attempt(self, instance):
        """One requester attempt of the next turn. Returns whether it was answered whole."""
        request = self.system.request_id()
        headers = {"Host": "agents.example", "Request-Id": request, "Deadline-Ms": "3000",
                   "Authorization": "Bearer " + KEY, "Model": "m", "Token-Count": f"200,{EVENTS * TOKENS_PER_EVENT}",
                   "Program-Id": self.name, "Session-Id": self.name, "Finish-Ms": str(max(0, int(1000 * (self.aim - self.system.record.now())))), "Token-Budget": "100000"}
        if self.last:
            headers["Previous-Turn"] = self.last
        self.system.record.write(f"sent {request} of {self.name} after {self.last} to {instance.name}")
        status, whole = 0, False
        try:
            answer = await fetch(instance.front, "POST", "/chat/1", headers, b'{"say":"%s"}' % request.encode(), 4)
            status, whole = answer["status"], answer["complete"]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.tries.append((self.system.record.now(), request, status))
        self.system.record.write(f"answered {request} of {self.name} status {status} whole {int(whole)}")
        if status == 200 and whole:
            self.last, self.answered_at = request, self.system.record.now()
            return True
        return False

    async def turn(self, instances, tries=3):
        for number in range(tries):
            if await self.attempt(instances[number % len(instances)]):
                return True
            await asyncio.sleep(0.3)
        return False


async def restart(system, instance):
    instance.process.send_signal(signal.SIGTERM)
    await asyncio.wait_for(instance.process.wait(), GRACE_S)
    system.record.write(f"{instance.name} has ended")
    await instance.start(system.command)
    await instance.wait_ready()


async def case():
    system = System(HERE, SEED)
    record = system.record
    runners = [Runner(system.store, record, f"m-{zone}-{number}", "models", zone, events=EVENTS)
               for zone in system.zones for number in (1, 2)]
    try:
        await system.start(CONFIG, runners)
        first, second = system.of("zone-a")[0], system.of("zone-b")[1]
        talks = [Conversation(system, f"c{number:02d}") for number in range(CONVERSATIONS)]
        if DOWN:
            record.write(f"trouble: the store is down for {DOWN_S} s")
            system.store.down = "busy"
            asyncio.get_running_loop().call_later(DOWN_S, setattr, system.store, "down", None)
        down_at = record.now()
        await asyncio.sleep(0.3)
        await asyncio.gather(*(talk.turn([first]) for talk in talks))
        await asyncio.gather(*(talk.turn([second]) for talk in talks))
        await asyncio.sleep(max(0, down_at + 3.0 - record.now()))
        victims = [system.of(zone)[0] for zone in system.zones]
        if KILL:
            record.write(f"trouble: {[victim.name for victim in victims]} are killed")
            await asyncio.gather(*(victim.kill() for victim in victims))
        await asyncio.sleep(max(0, down_at + DOWN_S + 0.3 - record.now()))
        record.write("the store is up")
        if KILL:
            await asyncio.gather(*(victim.start(system.command) for victim in victims))
            await asyncio.gather(*(victim.wait_ready() for victim in victims))
            record.write("they run again")
        await asyncio.sleep(CALM_S / 2)
        await asyncio.gather(*(talk.turn([second]) for talk in talks))
        await asyncio.sleep(CALM_S / 2)
        going = [talk for talk in talks if await talk.turn([second])]
        record.write(f"{len(going)} of {len(talks)} conversations go on after {CALM_S} s of calm")
        record.write("planned: all machines are restarted in turn")
        restarts = []
        for number in range(2):
            for zone in system.zones:
                restarts.append(asyncio.ensure_future(restart(system, system.of(zone)[number])))
                await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts)
        await asyncio.sleep(4)
        began = record.now()
        record.write("all machines are back; the conversations go on")
        fresh = [Conversation(system, f"f{number:02d}") for number in range(10)]
        order = system.of("zone-b")
        random.Random(SEED).shuffle(order)
        reached = await asyncio.gather(*(talk.turn(order, TRIES) for talk in going + fresh))
        lost = [talk for talk, whole in zip(going, reached) if not whole]
        served = sum(reached[len(going):])
        for talk in lost:
            statuses = [status for at, _, status in talk.tries if at > began]
            record.write(f"{talk.name}: {talk.last} was answered whole {began - talk.answered_at:.1f} s before; "
                         f"tries since {statuses} LOST")
        line = (f"LOST: {len(lost)} of {len(going)} conversations reach no runner in {TRIES} tries after a planned restart; "
                f"{served} of {len(fresh)} first turns do")
        record.write(line)
        print(line)
        return bool(lost) and served >= 0.9 * len(fresh)
    finally:
        await system.stop()


run_case(case)
