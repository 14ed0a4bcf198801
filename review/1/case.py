"""One large job is handed in among small ones; all accepted jobs have to be completed."""

import asyncio
import os
import pathlib
import sys
import tempfile
import traceback

from review.standins.deployment import Deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SMALL_JOBS = 60
SMALL_JOB_INTERVAL_S = 0.2
LARGE_JOB_AT = 20  # after this many small jobs
LARGE_JOB_SUBTASKS = 19000
SMALL_STEPS = [{"count": 6, "cpu": 1100, "memMb": 4200, "estimatedMs": 300}]
LARGE_STEPS = [{"count": LARGE_JOB_SUBTASKS, "cpu": 1000, "memMb": 256, "estimatedMs": 300}]
FINISH_S = 14.0  # `finish_s` of the site
IDLE_S = 3.0  # the rule LOST: nothing of a job runs for 3 s


def job_of(task):
    return task.split(".")[0]


async def play(deployment):
    """Returns the small jobs that were accepted and are lost by the rule."""
    await deployment.start()
    large = deployment.new_id()
    for number in range(SMALL_JOBS):
        if TROUBLE and number == LARGE_JOB_AT:
            accepted = await deployment.submit(large, LARGE_STEPS)
            deployment.record("large-job", job=large, accepted=accepted)
        await deployment.submit(deployment.new_id(), SMALL_STEPS)
        await asyncio.sleep(SMALL_JOB_INTERVAL_S)
    deployment.record("traffic-ended")
    await asyncio.sleep(FINISH_S)
    return await lost_jobs(deployment, large)


async def lost_jobs(deployment, large):
    accepted = [job for job, seen in deployment.jobs.items()
                if seen["accepted"] is not None and job != large]
    states = {job: await deployment.state(job) for job in accepted}
    waiting = [job for job, state in states.items() if state != "completed"]
    began = deployment.now()
    running, busy_milli = set(), 0
    while deployment.now() < began + IDLE_S:
        runs = [task for minion in deployment.minions for task in minion.running]
        running.update(job_of(task) for task in runs)
        busy_milli = max(busy_milli, 1000 * len(runs))
        await asyncio.sleep(0.05)
    capacity_milli = sum(minion.capacity["cpu"] for minion in deployment.minions)
    is_idle = busy_milli * 2 < capacity_milli
    lost = [job for job in waiting if job not in running and is_idle]
    deployment.record("checked", accepted=len(accepted), completed=len(accepted) - len(waiting),
                      waiting=len(waiting), lost=len(lost), busy_milli=busy_milli,
                      capacity_milli=capacity_milli,
                      rejected_as_too_large=deployment.store.rejected_as_too_large,
                      large_job_starts=sum(event["kind"] == "start"
                                           and job_of(event["task"]) == large
                                           for event in deployment.events))
    return lost


async def main(record_path):
    with tempfile.TemporaryDirectory(prefix="poplar-review-") as folder:
        deployment = Deployment(pathlib.Path(folder), entries=3, minions={"shop": 8},
                                capacity={"cpu": 64000, "memMb": 131072, "gpu": 0}, seed=1,
                                duration=lambda task: 0.3)
        try:
            lost = await asyncio.wait_for(play(deployment), 100)
        except Exception:
            traceback.print_exc()
            return 2
        finally:
            deployment.stop()
            deployment.write_record(record_path, "large job among small ones, TROUBLE=%d" % TROUBLE)
        exits = [entry.name for entry in deployment.entries if entry.process.returncode != -9]
        if exits:
            print("ended by themselves:", exits)
            return 1
        accepted = [job for job, seen in deployment.jobs.items() if seen["accepted"] is not None]
        if len(accepted) < SMALL_JOBS:
            print("only %d jobs were accepted" % len(accepted))
            return 2
        print("LOST: %d accepted small jobs have nothing running, with room for them" % len(lost)
              if lost else "held")
        return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1])))
