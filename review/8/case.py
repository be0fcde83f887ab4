"""Minions of two kinds, and jobs whose tasks require one of them. One minion at a time crashes and is back after 2.5 to
4.5 s under its id, as the other kind. Its entry in the store shows the new kind before the minion can be reached."""
import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from platform2 import World, config, draw_id, main, now  # noqa: E402

HOST = "migration.example"
KEY = {"key": "tenant-key-1"}
CAPACITY = {"cpu": 64000, "memMb": 8000, "gpu": 0}
NEEDS = {"cpu": 1, "memMb": 1000}
TASK_S = 1.5
TASKS = 6
JOB_EVERY_S = 0.07  # more than the minions can serve
MINIONS = 14
LOAD_UNTIL_S = 95.0
OTHER_KIND = {"a": "b", "b": "a"}


async def scenario(world):
    required = {}
    wrong = []
    count = 0
    was_started = World.started

    def started(self, minion, run, message):
        nonlocal count
        count += 1
        was_started(self, minion, run, message)
        label = required[run.task.split(".")[0]]
        if label not in minion.labels:
            wrong.append(run.task)
            self.record(f"BROKEN ROUTE: {run.task} requires the label {label}; {minion.id} has {minion.labels}")

    World.started = started
    await world.open(
        config(
            3,
            [{"name": "bankmig"}],
            [{"name": "r-dry-run", "host": HOST, "prefix": "/dry-run/", "service": "bankmig"}],
            [{"name": "bank", "apiKeys": ["tenant-key-1"]}],
        )
    )
    for number in range(MINIONS):
        await world.add_minion(f"i-{number:04x}", "bankmig", "zone-a", CAPACITY, ["ab"[number % 2], f"r1-{number // 4}"])
    for number in (1, 2):
        world.add_entry(number)
    await world.wait_ready()
    await asyncio.sleep(2.0)

    async def load():
        turn = 0
        while True:
            turn += 1
            job, kind = draw_id(), "ab"[turn % 2]
            required[job] = kind
            step = {"count": TASKS, "estimateMs": 1500, "requires": kind, **NEEDS}
            call = world.submit(
                world.entries[turn // 2 % 2], HOST, "/dry-run/" + job, {"spec": "dry run", "steps": [step]}, KEY, (NEEDS, TASK_S, "done", False)
            )
            asyncio.ensure_future(call)
            await asyncio.sleep(JOB_EVERY_S)

    turn = 0

    async def crashes(first):
        """One of each two minions at a time."""
        nonlocal turn
        number = first
        while now() < LOAD_UNTIL_S - 6:
            minion = world.minions[f"i-{number % MINIONS:04x}"]
            number += 2
            turn += 1
            await minion.crash()
            await asyncio.sleep(random.uniform(2.5, 4.5))
            await minion.start(labels=[OTHER_KIND[minion.labels[0]], minion.labels[1]])
            await asyncio.sleep(1.0)

    asyncio.ensure_future(load())
    await asyncio.sleep(6.0)
    if world.trouble:
        asyncio.ensure_future(crashes(0))
        asyncio.ensure_future(crashes(1))
    while now() < LOAD_UNTIL_S:
        await asyncio.sleep(0.5)
    world.record(f"minions that came back as the other kind: {turn}; starts: {count}; on a minion without the label: {len(wrong)}")
    if count == 0:
        await world.end(2)
    await world.end(1 if wrong else 0)


main(HERE, scenario)
