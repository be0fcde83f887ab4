"""A job with one task of 3 s. The minion that starts it is cut off 0.1 s later with its connections reset, for 5.5 s, and
runs on; so is the minion that starts it next. No minion crashes, and no run ends `failed`."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from platform2 import config, draw_id, main, now  # noqa: E402

HOST = "migration.example"
KEY = {"key": "tenant-key-1"}
CAPACITY = {"cpu": 64000, "memMb": 262144, "gpu": 0}
NEEDS = {"cpu": 4600, "memMb": 17000}
MINIONS = 12
CUTS = 2  # 17% of 12, rounded
CUT_AFTER_S = 0.1
CUT_FOR_S = 5.5


async def scenario(world):
    await world.open(
        config(
            3,
            [{"name": "helsemig"}],
            [{"name": "r-apply", "host": HOST, "prefix": "/apply/", "service": "helsemig"}],
            [{"name": "council", "apiKeys": ["tenant-key-1"]}],
        )
    )
    for number in range(MINIONS):
        await world.add_minion(f"i-{number:04x}", "helsemig", "zone-a", CAPACITY, ["a", f"r1-{number // 4}"])
    for number in (1, 2):
        world.add_entry(number)
    await world.wait_ready()
    await asyncio.sleep(3.0)
    job = draw_id()
    path = "/apply/" + job
    was_cut = []

    async def cut(minion):
        await asyncio.sleep(CUT_AFTER_S)
        await minion.cut()
        await asyncio.sleep(CUT_FOR_S)
        await minion.heal()

    def on_start(minion, run):
        if world.trouble and run.task.startswith(job) and len(was_cut) < CUTS:
            was_cut.append(minion)
            asyncio.ensure_future(cut(minion))

    for minion in world.minions.values():
        minion.on_start = on_start
    spec = {"spec": "apply", "steps": [{"count": 1, "estimateMs": 3000, **NEEDS}]}
    status = await world.submit(world.entries[0], HOST, path, spec, KEY, (NEEDS, 3.0, "done", False))
    if status != 200:
        await world.end(2)
    state = None
    until = now() + 40
    while now() < until and state not in ("failed", "completed", "cancelled"):
        await asyncio.sleep(0.5)
        status, answer = await world.state(world.entries[1], HOST, path, KEY)
        state = answer.get("state") if status == 200 else None
    await asyncio.sleep(CUT_FOR_S + 1 if world.trouble else 0)
    failed_ends = [run.task for _, _, run, how in world.ends if how == "failed"]
    crashed = [minion.id for minion in world.minions.values() if minion.life > 1 or not minion.is_up]
    world.record(f"state {state}; ends `failed`: {failed_ends}; minions that crashed: {crashed}")
    if state == "failed" and not failed_ends and not crashed:
        world.record("BROKEN LOST: an accepted job is shown as failed without cause")
        await world.end(1)
    await world.end(0 if state == "completed" else 2)


main(HERE, scenario)
