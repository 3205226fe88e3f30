"""A program whose lines arrive through different zones gets more tokens than its budget; see claim.txt."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import world as stand  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
PROGRAM = "3fa81c"
TOKENS_PER_EVENT = 23
EVENTS = 25
TURN_TOKENS = EVENTS * TOKENS_PER_EVENT  # 575, the most of one turn
BUDGET = 8 * TURN_TOKENS
# Pauses between two turns of the program, both shorter than retentionS.
FIRST_PAUSE_S = 44.0
SECOND_PAUSE_S = 56.0


async def body(world):
    routes = [{"name": "talk", "host": stand.HOST, "pathPrefix": "/talk/", "routeType": "stream", "timeoutMs": 3000,
               "sloMs": 200, "priority": 0, "service": "models", "maxAttempts": 2, "retainContext": True,
               "retentionS": 60.0, "public": False, "sticky": True, "resumable": False, "gapAimMs": 400}]
    services = [{"name": "models", "healthPath": "/health", "maxConns": 180, "coldStartS": 0.0, "coldPerS": 0.0,
                 "engine": {"slots": 16, "kvCapacity": 534013, "tokensPerEvent": TOKENS_PER_EVENT,
                            "models": [{"name": "m"}]}}]
    for index in range(3):
        world.runner(f"i-{index:04d}", "models", index, events=EVENTS, gap_s=0.005)
    world.configure(1, routes, services)
    await world.start()
    requesters = [stand.Requester(world.record, instance, "key-a") for instance in world.instances]
    handed = 0

    async def turn(requester, session):
        """A first turn of a line of the program."""
        nonlocal handed
        headers = [("Program-Id", PROGRAM), ("Session-Id", session), ("Finish-Ms", "200000"),
                   ("Token-Budget", str(BUDGET)), ("Model", "m"), ("Token-Count", f"100,{TURN_TOKENS}"),
                   ("Prompt-Prefix", f"{session}:100")]
        answer = await requester.ask("POST", "/talk/1", headers, b"input of a turn", 3000)
        handed += answer.body.count(b"data: ") * TOKENS_PER_EVENT
        world.record.write(f"the program has been handed {handed} of {BUDGET} tokens")
        return answer

    home, away = requesters[2], requesters[1] if world.trouble else requesters[2]
    for number in range(4):
        await turn(home, f"a{number}")
    await turn(away, "b0")
    await asyncio.sleep(FIRST_PAUSE_S)
    await turn(away, "b1")
    await asyncio.sleep(SECOND_PAUSE_S)
    # The program goes on until it is told that its budget is spent.
    for number in range(12):
        answer = await turn(home, f"c{number}")
        if answer.status == 402:
            break
    if handed <= BUDGET + TURN_TOKENS:
        return []
    return [f"BUDGET: the program was handed {handed} tokens; its budget is {BUDGET}, and {TURN_TOKENS} for one turn more"]


stand.run(FOLDER, body)
