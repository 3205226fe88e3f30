"""Programs spend their token budget while answers of the store are lost. Seconds later all processes are killed at once
and start again, and the programs come back. The tokens handed out are counted by what the requesters received.

TROUBLE=0 has neither disruption, TROUBLE=lost only the lost answers, TROUBLE=kill only the kill."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from stand import Runner, System, fetch, run_case

TROUBLE = os.environ.get("TROUBLE", "1")
LOST = TROUBLE in ("1", "lost")
KILL = TROUBLE in ("1", "kill")
SEED = int(os.environ.get("SEED", "1"))
KEY = "key-of-tenant"
EVENTS, TOKENS_PER_EVENT = 4, 23
TURN_TOKENS = EVENTS * TOKENS_PER_EVENT
TURNS = 8
BUDGET = TURNS * TURN_TOKENS
PROGRAMS = 40
LOSS_S = 4.5
LOSS_SHARE = 0.35
CONFIG = {
    "version": 7,
    "routes": [{"name": "quote", "host": "agents.example", "pathPrefix": "/quote/", "routeType": "stream",
                "timeoutMs": 3000, "sloMs": 200, "priority": 1, "service": "models", "maxAttempts": 2,
                "retainContext": False, "retentionS": 60.0, "public": False, "sticky": True, "resumable": False,
                "gapAimMs": 400}],
    "services": [{"name": "models", "healthPath": "/health", "maxConns": 180, "coldStartS": 0.0, "coldPerS": 0.0,
                  "engine": {"slots": 16, "kvCapacity": 534013, "tokensPerEvent": TOKENS_PER_EVENT}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "tenant", "apiKeys": [KEY], "priority": 1, "ratePerS": 0, "burst": 0}],
}


class Program:
    def __init__(self, system, name, pick):
        self.system, self.name, self.pick = system, name, pick
        self.tokens = 0
        self.statuses = []

    async def attempt(self):
        """One requester attempt of a turn. Returns the status, or 0 when the channel broke off."""
        request = self.system.request_id()
        instance = self.pick.choice(self.system.of("zone-a"))
        headers = {"Host": "agents.example", "Request-Id": request, "Deadline-Ms": "3000",
                   "Authorization": "Bearer " + KEY, "Model": "m", "Token-Count": f"200,{TURN_TOKENS}",
                   "Program-Id": self.name, "Session-Id": self.name, "Finish-Ms": "20000",
                   "Token-Budget": str(BUDGET)}
        self.system.record.write(f"sent {request} program {self.name} to {instance.name}")
        status, retry, events = 0, 0.2, 0
        try:
            answer = await fetch(instance.front, "POST", "/quote/1", headers, b"{}", 4)
            status = answer["status"]
            retry = float(answer["headers"].get("retry-after", "0.2"))
            if status == 200:
                events = answer["body"].count(b"\n\n")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.tokens += events * TOKENS_PER_EVENT
        self.statuses.append(status)
        self.system.record.write(f"answered {request} program {self.name} status {status} events {events}")
        return status, retry

    async def turn(self):
        for _ in range(3):
            status, retry = await self.attempt()
            if status in (200, 402):
                return status
            await asyncio.sleep(min(retry, 1.0))
        return status

    async def spend(self):
        """Sub-agents in parallel, whose turns together spend the budget."""
        await asyncio.gather(*(self.turn() for _ in range(TURNS)))

    async def come_back(self):
        """A program without end sends a turn twice more after a 402."""
        refused = 0
        for _ in range(2 * TURNS):
            refused += await self.turn() == 402
            if refused == 3:
                return


async def case():
    system = System(HERE, SEED)
    record = system.record
    runners = [Runner(system.store, record, f"m-{zone}-{number}", "models", zone, events=EVENTS)
               for zone in system.zones for number in (1, 2)]
    system.store.trace.add("keyed.tokens")
    try:
        await system.start(CONFIG, runners)
        pick = random.Random(SEED)
        programs = [Program(system, f"p{number:03d}", pick) for number in range(PROGRAMS)]
        loop = asyncio.get_running_loop()
        if LOST:
            record.write(f"trouble: {LOSS_SHARE} of the writes of the store are done and not answered")
            system.store.lose_writes = LOSS_SHARE
            loop.call_later(LOSS_S, setattr, system.store, "lose_writes", 0.0)

        async def later(program, delay):
            await asyncio.sleep(delay)
            await program.spend()
        await asyncio.gather(*(later(program, 0.3 + (LOSS_S - 0.5) * index / PROGRAMS)
                               for index, program in enumerate(programs)))
        record.write("all programs have stopped")
        first = {program.name: program.tokens for program in programs}
        await asyncio.sleep(6)
        if KILL:
            record.write("trouble: all processes are killed")
            await asyncio.gather(*(instance.kill() for instance in system.instances))
            await asyncio.sleep(1)
            await asyncio.gather(*(instance.start(system.command) for instance in system.instances))
            await asyncio.gather(*(instance.wait_ready() for instance in system.instances))
            record.write("all processes are ready again")
        await asyncio.sleep(4)
        for start in range(0, PROGRAMS, 8):
            await asyncio.gather(*(program.come_back() for program in programs[start:start + 8]))
        broken = 0
        for program in programs:
            over = program.tokens > BUDGET + TURN_TOKENS
            broken += over
            record.write(f"program {program.name} tokens {program.tokens} (before the restart {first[program.name]}) "
                         f"budget {BUDGET} one turn {TURN_TOKENS}{' BROKEN' if over else ''} "
                         f"statuses {program.statuses}")
        line = f"BUDGET: {broken} of {PROGRAMS} programs got more than their budget and one turn"
        record.write(line)
        print(line)
        return broken > 0
    finally:
        await system.stop()


run_case(case)
