"""A lasting subtask that fills is never restarted once its image is known to slow another down."""

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
TARGET_MS, TAIL_MS, RAISED = 200, 50, 2  # the tail is 150 ms beside the subtask that fills
FILL_AT_S, CRASH_AT_S, DOWN_S, END_S = 20.0, 45.0, 4.5, 100.0
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
    tasks = ["%s.0.0.%d" % (SERVING, index) for index in range(MACHINES)] + [FILLING + ".0.0.0"]
    try:
        await deployment.start()
        accepted = await deployment.submit(QUEUE, SERVING, {"spec": "web", "steps": [
            {"count": MACHINES, "cpu": 1000, "memMb": 1024, "longRunning": True, "image": "web",
             "targetMs": TARGET_MS, "antiAffinity": 1}]})
        await asyncio.sleep(FILL_AT_S - record.now())
        accepted = await deployment.submit(QUEUE, FILLING, {"spec": "batch", "steps": [
            {"count": 1, "cpu": 1000, "memMb": 1024, "longRunning": True, "image": "batch",
             "fills": True}]}) and accepted
        await asyncio.sleep(CRASH_AT_S - record.now())
        ready = accepted and all(idle_since(record.events, task) is None for task in tasks)
        if TROUBLE and ready:
            host = next(event["minion"] for event in reversed(record.events)
                        if event["kind"] == "start" and event["task"] == tasks[-1])
            deployment.crash(next(machine for machine in deployment.machines.values()
                                  if machine.minion.id == host), DOWN_S)
        await asyncio.sleep(END_S - record.now())
        end = record.now()
        for job in (SERVING, FILLING):
            await deployment.state(QUEUE, job)
    finally:
        await deployment.stop()
    if not ready:
        return 2
    calm_from = CRASH_AT_S + DOWN_S + CALM_S if TROUBLE else 0.0
    lost = []
    for task in tasks:
        since = idle_since([event for event in record.events if event["at"] <= end], task)
        if since is not None and end - max(since + AFTER_RUN_S, calm_from) > IDLE_S:
            lost.append(task)
            record.note("not-restarted", task=task, last_run_ended=since,
                        idle_s=round(end - since, 1))
    record.note("result", lost=len(lost))
    return 1 if lost else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(play()))
    except (OSError, RuntimeError) as error:
        print(error, file=sys.stderr)
        sys.exit(2)
