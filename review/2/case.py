"""Clients leave before their job was accepted and cancel it at another entry, while answers of the store are lost."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins"))
from world import *  # noqa: E402,F403

JOBS = 24
LOST_SHARE, LOST_FOR_S = 0.35, 4.5  # platform_lost: x = 0.35, for_s = 4.5, how = "late"
LEAVE_S = 0.125  # give_up: half of the latency objective of 250 ms
CONTACT_S, CANCEL_S, STOP_S = 3.0, 3.0, 0.2


async def scenario(folder, trouble):
    world = World(folder, entries=3, workers=3)
    workers = [Worker(world.record, world.agents[i], 8165, "i-%d" % i, world.zones[i], ["a", "r%d" % i])
               for i in range(3)]
    cancelled = {}  # job -> status of the cancellation, and when it was acknowledged

    async def client(job):
        body = {"spec": json.dumps({"ms": 0}), "steps": [{"count": 2, "cpu": 100, "mem_mb": 100, "long_running": True}]}
        status, _ = await world.request(0, "POST", "/watch/" + job, body, timeout=LEAVE_S)
        for _ in range(4):  # until it is acknowledged
            status, _ = await world.request(1, "DELETE", "/watch/" + job)
            if status in (200, 410):
                cancelled[job] = status, time.monotonic()
                return
            await asyncio.sleep(0.2)

    try:
        await world.start(workers, [world.route("watch", attempts=3)])
        world.store.late_share = LOST_SHARE if trouble else 0.0
        world.record.add("platform-lost", share=world.store.late_share)
        clients = []
        for number in range(JOBS):
            clients.append(asyncio.create_task(client("%016x" % (0xb1 + number))))
            await asyncio.sleep(LOST_FOR_S / JOBS)
        world.store.late_share = 0.0
        world.record.add("platform-usual")
        # The last late append is carried out after 6 s at most; then calm until every cancelled task has to be gone.
        await asyncio.sleep(6.0 + CONTACT_S + CANCEL_S + STOP_S + 1.0)
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
