"""The owner's machine is stopped and started while a job with many times runs."""

import asyncio
import json
import signal
import time

from deployment import Deployment, main
from minions import Work

JOB = "00000000000000c3"
TIMES, INTERVAL_S, COUNT = 20, 0.7, 8
STOP_AFTER_TIMES = 10
GRACE_S, START_AGAIN_S = 6.0, 0.5
FINISH_S = 14.0


def scenario(trouble):
    deployment = Deployment(lambda task, run: Work(0.3), {"alpha": 8})
    record = deployment.record

    def owner():
        value, _ = deployment.store.part("keyed.poplar-owner").newest()["owner"]
        name = json.loads(value)["owner"]
        return next(entry for entry in deployment.entries if entry.name == name)

    async def stop_and_start(entry):
        record.note("stop-signal", entry=entry.name)
        entry.process.send_signal(signal.SIGTERM)
        await deployment.until(lambda: not entry.is_running(), GRACE_S)
        entry.kill()
        await asyncio.sleep(START_AGAIN_S)
        entry.start()
        record.note("started-again", entry=entry.name)

    async def run():
        await deployment.submit("alpha", JOB, {
            "spec": "lab batches", "repeatCount": TIMES, "intervalMs": int(INTERVAL_S * 1000),
            "firstRunMs": int(time.time() * 1000) + 500,
            "steps": [{"count": COUNT, "cpu": 1000, "memMb": 500, "estimatedMs": 300}]})
        await asyncio.sleep(STOP_AFTER_TIMES * INTERVAL_S)
        if trouble:
            await stop_and_start(owner())
        end = record.now() + TIMES * INTERVAL_S + FINISH_S
        state = None
        while state != "completed" and record.now() < end:
            await asyncio.sleep(1)
            _, answer = await deployment.call(deployment.entries[0], "GET", "alpha", JOB)
            state = (answer or {}).get("state")
        return list(breaches())

    def breaches():
        """Starts of subtasks of which a run had ended `done` and been taken note of."""
        done_at = {}
        again = []
        for event in record.events:
            if event["kind"] == "noted" and event["how"] == "done":
                done_at.setdefault(event["task"], event["t"])
            elif event["kind"] == "start" and event["task"] in done_at:
                again.append((event["task"], event["run"], event["t"] - done_at[event["task"]]))
        if again:
            yield "TWICE: %d of %d subtasks start again after they were done" % (
                len({task for task, _, _ in again}), TIMES * COUNT)
            yield "TWICE: the first is %s, run %d, %.1f s after its end was taken note of" % again[0]
    return deployment, run


main(__file__, scenario)
