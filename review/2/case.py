"""The store turns one entry away for a while. Clients hand in jobs there, are told that the outcome is not known, and
cancel the jobs at another entry."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins"))
from world import *  # noqa: E402,F403

JOBS = 6
PAUSE_S = 0.05  # between two jobs
AWAY_S = 4.5  # platform_down, how = "nodes reset"
CONTACT_S, CANCEL_S, STOP_S = 3.0, 3.0, 0.2


async def scenario(folder, trouble):
    world = World(folder, entries=3, workers=3)
    workers = [Worker(world.record, world.agents[i], 8165, "i-%d" % i, world.zones[i], ["a", "r%d" % i])
               for i in range(3)]
    cancelled = {}  # job -> status of the cancellation, and when it was acknowledged

    async def client(job):
        steps = [{"count": 2, "cpu": 100, "mem_mb": 100, "long_running": True}]
        await world.submit(0, "watch", job, steps, {"ms": 0})  # waits 3 s, as it says in its Deadline-Ms
        for _ in range(10):  # until the cancellation is acknowledged
            status, _ = await world.request(1, "DELETE", "/watch/" + job)
            if status in (200, 410):
                cancelled[job] = status, time.monotonic()
                return
            await asyncio.sleep(0.2)

    try:
        await world.start(workers, [world.route("watch", attempts=3)])
        if trouble:
            world.store.resets.add("edge-0")
            world.record.add("platform-down", hosts=["edge-0"])
        begun = time.monotonic()
        clients = []
        for number in range(JOBS):
            clients.append(asyncio.create_task(client("%016x" % (0xb1 + number))))
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(begun + AWAY_S - time.monotonic())
        world.store.resets.clear()
        world.record.add("platform-back")
        # In touch again, then calm for as long as a cancelled task may run on.
        await asyncio.sleep(CONTACT_S + CANCEL_S + STOP_S + 1.0)
        for task in clients:
            await task
        running = {}
        for worker in workers:
            for task, run in worker.runs.items():
                running.setdefault(task.split(".")[0], []).append((worker.id, task, run.number))
        world.record.add("running", tasks=running)
        broken = []
        for job, (status, at) in sorted(cancelled.items()):
            if job in running:
                state = await world.state(1, "watch", job)
                broken.append("UNASKED: job %s runs %.1f s after its cancellation was acknowledged with %d; it is shown "
                              "as %s" % (job, time.monotonic() - at, status, state))
        print("%d jobs, %d cancellations acknowledged, %d of them with 410" % (
            JOBS, len(cancelled), sum(status == 410 for status, _ in cancelled.values())))
        return broken
    finally:
        await world.end()


main(scenario)
