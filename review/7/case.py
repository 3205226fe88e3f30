"""Turns are answered whole while the store is down; then all processes are killed at once and start again, and the store
returns. The conversations go on, from turns answered before the outage and from turns answered during it.

TROUBLE=0 has neither disruption, TROUBLE=down only the outage, TROUBLE=kill only the kill."""
import asyncio
import os
import random
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
CONVERSATIONS = 30
DOWN_S = 4.5
RECOVER_S = 12.0
LAST_S = 4.0
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
    def __init__(self, system, name, pick):
        self.system, self.name, self.pick = system, name, pick
        self.last = None
        self.tries = []

    async def attempt(self):
        """One requester attempt of the next turn. Returns the status and whether the answer was whole."""
        request = self.system.request_id()
        instance = self.pick.choice(self.system.instances)
        headers = {"Host": "agents.example", "Request-Id": request, "Deadline-Ms": "3000",
                   "Authorization": "Bearer " + KEY, "Model": "m", "Token-Count": f"200,{EVENTS * TOKENS_PER_EVENT}",
                   "Program-Id": self.name, "Session-Id": self.name, "Finish-Ms": "20000", "Token-Budget": "100000"}
        if self.last:
            headers["Previous-Turn"] = self.last
        self.system.record.write(f"sent {request} of {self.name} after {self.last} to {instance.name}")
        status, whole, retry = 0, False, 0.3
        try:
            answer = await fetch(instance.front, "POST", "/chat/1", headers, b'{"say":"%s"}' % request.encode(), 4)
            status, whole = answer["status"], answer["complete"]
            retry = float(answer["headers"].get("retry-after", "0.3"))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.tries.append((self.system.record.now(), request, status))
        self.system.record.write(f"answered {request} of {self.name} status {status} whole {int(whole)}")
        if status == 200 and whole:
            self.last = request
            return True, retry
        return False, retry

    async def turn(self):
        for _ in range(3):
            whole, retry = await self.attempt()
            if whole:
                return True
            await asyncio.sleep(min(retry, 1.0))
        return False

    async def keep_trying(self, until):
        while self.system.record.now() < until:
            whole, retry = await self.attempt()
            if whole:
                return
            await asyncio.sleep(max(0.3, min(retry, 1.0)))


async def case():
    system = System(HERE, SEED)
    record = system.record
    runners = [Runner(system.store, record, f"m-{zone}-{number}", "models", zone, events=EVENTS)
               for zone in system.zones for number in (1, 2)]
    try:
        await system.start(CONFIG, runners)
        pick = random.Random(SEED)
        early = [Conversation(system, f"early-{number}", pick) for number in range(CONVERSATIONS)]
        late = [Conversation(system, f"late-{number}", pick) for number in range(CONVERSATIONS)]
        for conversation in early + late:
            await conversation.turn()
        await asyncio.sleep(1)
        if DOWN:
            record.write(f"trouble: the store is down for {DOWN_S} s")
            system.store.down = "busy"
            asyncio.get_running_loop().call_later(DOWN_S, setattr, system.store, "down", None)
        await asyncio.sleep(1)
        answered = [conversation for conversation in late if await conversation.turn()]
        record.write(f"{len(answered)} of {len(late)} turns were answered whole in the outage")
        if KILL:
            record.write("trouble: all processes are killed")
            await asyncio.gather(*(instance.kill() for instance in system.instances))
            await asyncio.sleep(1)
            await asyncio.gather(*(instance.start(system.command) for instance in system.instances))
            record.write("all processes run again")
        back = record.now()
        if DOWN:
            while system.store.down:
                await asyncio.sleep(0.05)
            record.write("the store is back")
        # The machines are back once the processes run and the store answers.
        back = record.now()
        for instance in system.instances:
            await instance.wait_ready()
        await asyncio.gather(*(conversation.keep_trying(back + RECOVER_S) for conversation in early + answered))
        run = {entry["request"] for runner in runners for entry in runner.runs}

        def reached(conversation):
            return any(request in run for at, request, _ in conversation.tries if at > back)

        others = sum(map(reached, early))
        lost = [conversation for conversation in answered if not reached(conversation)]
        for conversation in lost:
            statuses = [status for at, _, status in conversation.tries if at > back]
            record.write(f"{conversation.name}: {conversation.last} was answered whole; tries since {statuses} LOST")
        line = (f"LOST: {len(lost)} of {len(answered)} turns answered whole in the outage reach no runner by recoverS; "
                f"{others} of {len(early)} others do")
        record.write(line)
        print(line)
        return bool(lost) and others >= 0.8 * len(early)
    finally:
        await system.stop()


run_case(case)
