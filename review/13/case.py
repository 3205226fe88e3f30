"""A runner that leaves says so in its answers while the store is away; see claim.txt."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import world as stand  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
STORE_DOWN_S = 7.0   # the largest `for_s` of platform_down (silent) in the site file
LEAVES_AFTER_S = 1.0
SERVES_ON_S = 4.5    # drainMs (2 s) and "a little longer (at times many seconds)"


async def body(world):
    routes = [{"name": "orders", "host": stand.HOST, "pathPrefix": "/orders/", "routeType": "non_idempotent",
               "timeoutMs": 3000, "sloMs": 400, "priority": 2, "service": "app", "maxAttempts": 1, "public": False}]
    services = [{"name": "app", "healthPath": "/health", "maxConns": 110, "coldStartS": 0.0, "coldPerS": 0.0}]
    for index in range(7):
        world.runner(f"i-{index:04d}", "app", index, work_s=0.25)
    world.configure(1, routes, services)
    await world.start()
    leaver, answers, stop = world.runners[0], [], asyncio.Event()

    async def requester(instance):
        one = stand.Requester(world.record, instance, "key-a")
        while not stop.is_set():
            answer = await one.ask("POST", "/orders/1", body=b"order")
            answer.instance = instance.name
            answers.append(answer)
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(requester(instance)) for instance in world.instances for _ in range(20)]
    await asyncio.sleep(3)
    down_at = stand.now()
    if world.trouble:
        world.store.set_mode("silent")
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver.leave()
    await asyncio.sleep(SERVES_ON_S)
    while not leaver.unfinished and stand.now() < down_at + STORE_DOWN_S:
        await asyncio.sleep(0.01)
    cut = set(leaver.unfinished)
    leaver.stop()
    await asyncio.sleep(max(0.0, STORE_DOWN_S - (stand.now() - down_at)))
    if world.trouble:
        world.store.set_mode("up")
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*tasks)

    # For each machine, when it had first passed on an answer with `Server-Leaving`.
    passed = {}
    for answer in answers:
        if answer.headers and answer.headers.get("Server-Leaving"):
            passed[answer.instance] = min(passed.get(answer.instance, answer.ended), answer.ended)
    world.record.write(f"first answers with Server-Leaving passed on: {passed}")
    arrived = {request for request, _ in leaver.arrivals}
    late = [answer for answer in answers if answer.request in arrived and answer.instance in passed
            and answer.sent > passed[answer.instance] + stand.DRAIN_MS / 1000]
    lost = [answer for answer in answers if answer.request in cut and answer.status != 200]
    world.record.write(f"{len(late)} late requests at the leaving runner, {len(lost)} of the {len(cut)} that its exit cut "
                       f"have no answer of the runner")
    for answer in late[:20]:
        world.record.write(f"late: {answer.request} sent at {answer.sent:.3f} to {answer.instance}, answer {answer.text()}")
    return [f"DRAIN: {len(late)} requests, sent more than {stand.DRAIN_MS} ms after their machine had passed on an answer "
            f"with Server-Leaving, reached the runner; {len(lost)} of them were cut by its exit and got no answer of it"
            ] if late else []


stand.run(FOLDER, body)
