"""A lasting subtask that serves is never restarted where the others of its service host fillers."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
from deployment import Deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
QUEUE = "orders"
SERVING, FILLING = "00000000000000a1", "00000000000000b1"
MACHINES = 8
TARGET_MS, TAIL_MS, RAISED = 200, 50, 2  # the tail is 150 ms beside one subtask that fills
FILL_AT_S, CRASH_AT_S, END_S = 20.0, 45.0, 85.0
GONE_S = 1000.0  # for good
CRASH_S = 4.5  # the length of the disruption in the site
CALM_S, AFTER_RUN_S, IDLE_S = 4.0, 6.0, 3.0  # of the rule


def work_of(task, run):
    if task.startswith(SERVING):
        return {"seconds": None, "cpu": 500, "tail_ms": TAIL_MS, "raised": RAISED}
    return {"seconds": None, "cpu": 1000, "fills": True}


def idle_since(events, task):
    """When the last run of the subtask ended; None while one runs."""
    since = 0.0
    for event in events:
        if event.get("task") == task:
            if event["kind"] == "start":
                since = None
            elif event["kind"] in ("end", "crashed"):
                since = event["at"]
    return since


async def play():
    deployment = Deployment(FOLDER, {"shop": MACHINES}, {QUEUE: "shop"},
                            {"cpu": 16000, "memMb": 65536, "gpu": 0}, work_of)
    record = deployment.record
    serving = SERVING + ".0.0.0"
    tasks = [serving] + ["%s.0.0.%d" % (FILLING, index) for index in range(MACHINES)]
    ready = False
    try:
        await deployment.start()
        accepted = await deployment.submit(QUEUE, SERVING, {"spec": "web", "steps": [
            {"count": 1, "cpu": 1000, "memMb": 1024, "longRunning": True, "image": "web",
             "targetMs": TARGET_MS}]})
        await asyncio.sleep(FILL_AT_S - record.now())
        accepted = await deployment.submit(QUEUE, FILLING, {"spec": "batch", "steps": [
            {"count": MACHINES, "cpu": 1000, "memMb": 1024, "longRunning": True,
             "image": "batch", "fills": True, "antiAffinity": 1}]}) and accepted
        await asyncio.sleep(CRASH_AT_S - record.now())
        ready = accepted and all(idle_since(record.events, task) is None for task in tasks)
        if TROUBLE and ready:
            host = next(event["minion"] for event in reversed(record.events)
                        if event["kind"] == "start" and event["task"] == serving)
            deployment.crash(next(machine for machine in deployment.machines.values()
                                  if machine.minion.id == host), GONE_S)
        await asyncio.sleep(END_S - record.now())
        end = record.now()
        states = [await deployment.state(QUEUE, job) for job in (SERVING, FILLING)]
    finally:
        await deployment.stop()
    if not ready or None in states:
        return 2
    # One subtask that fills is away too: it has no minion left, since one is allowed on each.
    since = idle_since([event for event in record.events if event["at"] <= end], serving)
    calm_from = CRASH_AT_S + CRASH_S + CALM_S
    idle = 0.0 if since is None else end - max(since + AFTER_RUN_S, calm_from)
    if since is not None:
        record.note("not-running", task=serving, last_run_ended=since, counted_s=round(idle, 1))
    record.note("result", broken=idle > IDLE_S)
    return 1 if idle > IDLE_S else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(play()))
    except (OSError, RuntimeError) as error:
        print(error, file=sys.stderr)
        sys.exit(2)
