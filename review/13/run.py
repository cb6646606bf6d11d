"""A start without an answer that is carried out 2 s later, while the agent that sent it has been killed."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "shared-3"))
from cluster import new_id, play  # noqa: E402

ROUNDS = 5
CALM_TASKS = 20
RESEND_S = 1.3
KILLED_FOR_S = 3.5
LEAST_OVERLAP_S = 0.1


async def client(cluster, job):
    """Sends the job, and once more, to another node, after no answer, a broken connection, 502 or 504."""
    for attempt in range(3):
        status, _ = await cluster.submit(cluster.entries[(int(job, 16) + attempt) % 3], job, "900 task", 1)
        if status not in (0, 502, 504):
            return
        await asyncio.sleep(RESEND_S)


async def round_of(cluster, trouble):
    # One start in over twenty is late, as on the days of the site file (x = 0.055).
    await cluster.submit(cluster.entries[0], new_id(), "20 calm", CALM_TASKS, cpu=100)
    chosen = []
    sent = asyncio.Event()

    def late_at(number):
        def late(path, order):
            if path != "/-/run-start" or chosen:
                return None
            chosen.append(number)
            sent.set()
            return random.uniform(2.0, 2.6)

        return late

    for number, worker in enumerate(cluster.workers):
        worker.late_counts_from_arrival = True
        worker.late = late_at(number) if trouble else None
    jobs = [asyncio.create_task(client(cluster, new_id()))]
    if trouble:
        try:
            await asyncio.wait_for(sent.wait(), 1)
            await asyncio.sleep(0.005)
            cluster.agents[chosen[0]].kill()
        except asyncio.TimeoutError:
            cluster.record("trouble: no start reached the worker")
    for worker in cluster.workers:
        worker.late = None
    await asyncio.sleep(KILLED_FOR_S)
    for agent in cluster.agents:
        if not agent.is_running():
            agent.start()
    await asyncio.gather(*jobs)
    await asyncio.sleep(4)


async def scenario(cluster, trouble):
    for _ in range(ROUNDS):
        await round_of(cluster, trouble)
    # Shorter overlaps may come from the stand-ins' own delays.
    return [f"TWICE: {cluster.describe(a)} and {cluster.describe(b)}" for a, b in cluster.overlaps()
            if min(a[4], b[4]) - b[3] > LEAST_OVERLAP_S]


play(HERE, scenario)
