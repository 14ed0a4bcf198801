"""Two minions crash, each soon after a subtask of a lasting job was started there.

The other subtasks of the job have to go on. Exits with 1 if the rule AVAIL was broken.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import traceback

from review.standins.deployment import Deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB_STEPS = [{"count": 5, "cpu": 1300, "memMb": 11000, "estimatedMs": 500, "longRunning": True,
              "mayMiss": 1, "antiAffinity": 1}]
CRASH_AFTER_START_S = 0.25
CRASHES = 2
DOWN_S = 0.3  # the next crash comes later, so that one minion is down at a time
STARTS_AGAIN_S = 15.0  # at the latest, after a crash
WATCHED_S = 6.0


async def wait_until(condition, seconds):
    for _ in range(int(seconds / 0.01)):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


def runs_of(deployment, task):
    return [minion for minion in deployment.minions if task in minion.running]


def crash_minion(deployment, minion):
    deployment.record("crash", minion=minion.id, running=sorted(minion.running))
    minion.crash()
    deployment.spawn(deployment.restart_minion(minion, DOWN_S))


async def play(deployment):
    """Returns the breaches of AVAIL."""
    await deployment.start()
    job = deployment.new_id()
    if not await deployment.submit(job, JOB_STEPS):
        raise RuntimeError("the job was not accepted")
    tasks = ["%s.0.0.%d" % (job, index) for index in range(5)]
    if not await wait_until(lambda: all(runs_of(deployment, task) for task in tasks), 10):
        raise RuntimeError("the job was not started")
    for _ in range(CRASHES if TROUBLE else 0):
        await asyncio.sleep(CRASH_AFTER_START_S)
        started = len(deployment.starts(tasks[0]))
        crash_minion(deployment, runs_of(deployment, tasks[0])[0])
        if not await wait_until(lambda: len(deployment.starts(tasks[0])) > started, STARTS_AGAIN_S):
            break
    await asyncio.sleep(WATCHED_S)
    await deployment.state(job)
    return breaches(deployment, tasks)


def breaches(deployment, tasks):
    """Stops of subtasks at work while as many others of the step are away as may be missing.

    A subtask that crashed counts as away only for stops within the same order.
    """
    found, away = [], []
    for event in deployment.events:
        if event["kind"] == "stop" and event["task"] in tasks and event["percent"] == 100:
            if len(away) >= JOB_STEPS[0]["mayMiss"]:
                found.append("%s on %s is stopped at %.3f while %s are away"
                             % (event["task"], event["minion"], event["t"], away))
            away.append(event["task"])
        elif event["kind"] == "start" and event["task"] in away:
            away.remove(event["task"])
    return found


async def main(record_path):
    with tempfile.TemporaryDirectory(prefix="poplar-review-") as folder:
        deployment = Deployment(pathlib.Path(folder), entries=3, minions={"shop": 8},
                                capacity={"cpu": 16000, "memMb": 65536, "gpu": 0}, seed=1,
                                duration=lambda task: None)
        try:
            found = await asyncio.wait_for(play(deployment), 100)
        except Exception:
            traceback.print_exc()
            return 2
        finally:
            deployment.stop()
            deployment.write_record(record_path, "crashed minions, TROUBLE=%d" % TROUBLE)
        states = [event["state"] for event in deployment.events if event["kind"] == "state"]
        print("the job is shown as", states[-1] if states else "nothing")
        for breach in found:
            print("AVAIL:", breach)
        print("held" if not found else "broken")
        return 1 if found else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1])))
