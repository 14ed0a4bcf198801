"""The owner is stopped by SIGTERM just after its zone has been cut off one way.

Exits with 1 if the rule TWICE was broken.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import traceback

from review.standins.deployment import Deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEPS = [{"count": 6, "cpu": 1000, "memMb": 1000, "estimatedMs": 40000, "antiAffinity": 1}]
SHORT_STEPS = [{"count": 1, "cpu": 100, "memMb": 100, "estimatedMs": 100}]
JOBS = 4
TASK_S, SHORT_TASK_S = 40.0, 0.1
# The owner has to be the owner for longer than its leases can outlive it.
OWNED_S = 12.0
CUT_S = 6.5
WATCHED_S = 12.0
SUBMIT_INTERVAL_S = 0.25


async def submit_steadily(deployment):
    while True:
        deployment.spawn(deployment.submit(deployment.new_id(), SHORT_STEPS, tries=1))
        await asyncio.sleep(SUBMIT_INTERVAL_S)


async def next_renewal(deployment):
    topic = deployment.store.topic("keyed.poplar-owner")
    count = len(topic.records)
    while len(topic.records) == count:
        await asyncio.sleep(0.002)
    await asyncio.sleep(0.02)  # its response has arrived


async def disturb(deployment):
    owner = deployment.owner()
    value, _ = deployment.store.topic("keyed.poplar-owner").newest["owner"]
    epoch = json.loads(value)["epoch"]
    zone = "z%d" % (owner.number % 3)
    inside = [minion for minion in deployment.minions if minion.zone == zone]
    await next_renewal(deployment)
    for entry in deployment.entries:
        if "z%d" % (entry.number % 3) == zone:
            for link in entry.links:
                link.is_cut = True
    for minion in deployment.minions:
        if minion in inside:
            minion.reachable_from = epoch
        else:
            minion.unanswered_from = epoch
    deployment.record("zone-cut", zone=zone, owner=owner.name, epoch=epoch,
                      minions=[minion.id for minion in inside])
    owner.signal(signal.SIGTERM)
    deployment.record("sigterm", entry=owner.name)
    await asyncio.sleep(CUT_S)
    for minion in deployment.minions:
        minion.reachable_from = minion.unanswered_from = None
    deployment.record("zone-healed", owner_ended=owner.process.poll() is not None)


async def play(deployment):
    """Returns the breaches of TWICE."""
    await deployment.start(has_links=True)
    for _ in range(JOBS):
        if not await deployment.submit(deployment.new_id(), STEPS):
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(OWNED_S)
    submissions = asyncio.ensure_future(submit_steadily(deployment))
    if TROUBLE:
        await disturb(deployment)
    else:
        owner = deployment.owner()
        owner.signal(signal.SIGTERM)
        deployment.record("sigterm", entry=owner.name)
    await asyncio.sleep(WATCHED_S)
    submissions.cancel()
    return breaches(deployment)


def breaches(deployment):
    """Two runs of a subtask at the same time."""
    found, running = [], {}
    for event in deployment.events:
        if event["kind"] == "start":
            others = running.setdefault(event["task"], set())
            if others:
                found.append("%s is started on %s at %.3f beside %s"
                             % (event["task"], event["minion"], event["t"], sorted(others)))
            others.add((event["minion"], event["run"]))
        elif event["kind"] == "end":
            running.get(event["task"], set()).discard((event["minion"], event["run"]))
    return found


async def main(record_path):
    with tempfile.TemporaryDirectory(prefix="poplar-review-") as folder:
        deployment = Deployment(
            pathlib.Path(folder), entries=4, minions={"shop": 9},
            capacity={"cpu": 16000, "memMb": 65536, "gpu": 0}, seed=1,
            duration=lambda task: TASK_S if is_long(task) else SHORT_TASK_S)

        def is_long(task):
            return deployment.jobs[task.split(".")[0]]["steps"] is STEPS

        try:
            found = await asyncio.wait_for(play(deployment), 100)
        except Exception:
            traceback.print_exc()
            return 2
        finally:
            deployment.stop()
            deployment.write_record(record_path, "stopped owner, TROUBLE=%d" % TROUBLE)
        for breach in found[:10]:
            print("TWICE:", breach)
        print("%d breaches" % len(found) if found else "held")
        return 1 if found else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1])))
