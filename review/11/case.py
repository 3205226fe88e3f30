"""A turn of one tenant stops the storing of other tenants' turns; see claim.txt."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import world as stand  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
RECOVER_S = 12.0
PROGRAMS = [f"a{number:03d}" for number in range(30)]
LARGE = "b000"


async def body(world):
    routes = [{"name": "talk", "host": stand.HOST, "pathPrefix": "/talk/", "routeType": "stream", "timeoutMs": 3000,
               "sloMs": 200, "priority": 0, "service": "models", "maxAttempts": 2, "retainContext": True,
               "retentionS": 60.0, "public": False, "sticky": True, "resumable": False, "gapAimMs": 400}]
    services = [{"name": "models", "healthPath": "/health", "maxConns": 180, "coldStartS": 0.0, "coldPerS": 0.0,
                 "engine": {"slots": 16, "kvCapacity": 534013, "tokensPerEvent": 23, "models": [{"name": "m"}]}}]
    for index in range(3):
        world.runner(f"i-{index:04d}", "models", index, events=3)
    world.configure(1, routes, services, ["tenant-a", "tenant-b"])
    await world.start()

    async def turn(program, previous, text, instance):
        one = stand.Requester(world.record, instance, f"key-{program[0]}")
        headers = [("Program-Id", program), ("Session-Id", program), ("Finish-Ms", "20000"), ("Model", "m"),
                   ("Token-Count", "100,138"), ("Prompt-Prefix", f"{program}:100")]
        if previous:
            headers.append(("Previous-Turn", previous))
        answer = await one.ask("POST", "/talk/1", headers, text, 3000)
        one.close()
        return answer

    def stored(request):
        """Returns the partition and the size of a turn's record."""
        return next(((part, len(data)) for (topic, part), content in world.store.topics.items() if "turns" in topic
                     for data in content.records if request.encode() in data), None)

    # A first turn of each program. It shows the partitions, and the size of a record beside its input.
    last, places = {}, {}
    for number, program in enumerate([LARGE, *PROGRAMS]):
        answer = await turn(program, None, b"x" * 1000, world.instances[number % 3])
        if not answer.complete or answer.status != 200 or not stored(answer.request):
            raise stand.CannotRun("a first turn is not stored")
        last[program], places[program] = answer.request, stored(answer.request)
    partition, size = places[LARGE]
    beside = size - 1000 + len(last[LARGE])
    same = [program for program in PROGRAMS if places[program][0] == partition]
    world.record.write(f"partition {partition} has the turns of {LARGE} (tenant-b) and of {same} (tenant-a); "
                       f"a record has {beside} bytes beside its input")
    if not same:
        raise stand.CannotRun("no other program in the partition")
    length = stand.RECORD_BYTES - beside + (8 if world.trouble else -1000)
    await turn(LARGE, last[LARGE], b"y" * length, world.instances[0])
    for number, program in enumerate(PROGRAMS):
        answer = await turn(program, last[program], b"z" * 500, world.instances[number % 3])
        if answer.complete and answer.status == 200:
            last[program] = answer.request
    await asyncio.sleep(3)
    missing = [program for program in PROGRAMS if not stored(last[program])]
    world.record.write(f"3 s later, the last turns of these programs are not in the store: {missing}")

    for one in world.instances:
        await one.kill()
    await asyncio.sleep(1)
    back = stand.now()
    for one in world.instances:
        await one.start(False)
    await world.await_ready()
    waiting, tries, served = set(PROGRAMS), {}, {}
    while stand.now() < back + RECOVER_S and waiting:
        for number, program in enumerate(sorted(waiting)):
            tries[program] = tries.get(program, 0) + 1
            answer = await turn(program, last[program], b"after", world.instances[(number + tries[program]) % 3])
            if any(answer.request == request for runner in world.runners for request, _ in runner.arrivals):
                waiting.discard(program)
                served[program] = answer.status
        await asyncio.sleep(0.3)
    world.record.write(f"after the restart, turns of {len(served)} programs reached a runner; none of {sorted(waiting)}")
    if not waiting or len(served) < 0.8 * (len(PROGRAMS) - len(waiting)):
        return []
    return [f"LOST: turns that go on from ones answered whole reached no runner in {RECOVER_S} s, for {len(waiting)} "
            f"programs of tenant-a ({', '.join(f'{program}: {tries[program]} tries' for program in sorted(waiting))}), "
            f"while those of {len(served)} other programs did"]


stand.run(FOLDER, body)
