"""Stand-in of the minions: runs under leases, fence numbers, numbered ends, paces."""

import asyncio
import time

STOP_S = 0.1  # a stop takes this long
MAX_HOLD_S = 10.0
STARTUP_S = 0.6  # until a subtask that lasts is at work
MAX_ENDS = 500


class Run:
    """`work` says what runs: seconds (None: it lasts), tail_ms (0: it serves nobody), cpu, fills."""

    def __init__(self, task, run, work):
        self.task, self.run, self.work = task, run, work
        self.started_at = time.monotonic()
        self.pace = 100
        self.is_stopping = False

    def percent(self):
        age = time.monotonic() - self.started_at
        if self.work["seconds"] is None:
            return min(100, int(100 * age / STARTUP_S))
        return min(99, int(100 * age / self.work["seconds"]))


class Minion:
    """One life of a machine. `work_of(task, run)` describes what a start runs; `note` records."""

    def __init__(self, name, work_of, note):
        self.id, self.work_of, self.note = name, work_of, note
        self.born = int(time.time() * 1000)
        self.booted_at = time.monotonic() - 100.0
        self.token, self.lease_until = 0, 0.0
        self.running, self.highest, self.ends = {}, {}, []
        self.end_number = 0
        self.changed = asyncio.Event()
        self.is_alive = True
        self.tasks = set()

    def clock_ms(self):
        return int((time.monotonic() - self.booted_at) * 1000)

    def crash(self):
        """Everything that runs here ends, and nothing is kept."""
        self.is_alive = False
        for run in self.running.values():
            self.note("crashed", task=run.task, run=run.run, minion=self.id)
        self.running.clear()
        for task in list(self.tasks):
            task.cancel()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle(self, request):
        handler = {"/run-start": self.start, "/run-stop": self.stop, "/hold": self.hold,
                   "/pace": self.set_pace}.get(request.path)
        if handler is None:
            return 404, {}
        if request.headers.get("x-expected-instance") != self.id:
            return 421, {}
        body = request.json()
        if body.get("fencingToken", 0) < self.token:
            return self.reply(409, reason="fence")
        self.token = body.get("fencingToken", 0)
        return await handler(body)

    def reply(self, status=200, **fields):
        return status, {"clockMs": self.clock_ms(), "born": self.born, **fields}

    def extend_lease(self, deadline_ms):
        latest = time.monotonic() + MAX_HOLD_S
        self.lease_until = max(self.lease_until, min(self.booted_at + deadline_ms / 1000, latest))

    async def start(self, body):
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task].run == run:
            return self.reply()
        if body["deadlineMs"] <= self.clock_ms():
            return self.reply(409, reason="late")
        self.extend_lease(body["deadlineMs"])
        if run <= self.highest.get(task, 0) or task in self.running:
            return self.reply(409, reason="old")
        started = self.running[task] = Run(task, run, self.work_of(task, run))
        self.note("start", task=task, run=run, minion=self.id)
        self.spawn(self.execute(started))
        return self.reply()

    async def execute(self, run):
        seconds = run.work["seconds"]
        while self.running.get(run.task) is run:
            now = time.monotonic()
            if now >= self.lease_until:
                self.end(run, "lapsed")
            elif seconds is not None and now >= run.started_at + seconds:
                self.end(run, "done")
            else:
                done_at = run.started_at + seconds if seconds is not None else self.lease_until
                await asyncio.sleep(max(0.005, min(done_at, self.lease_until) - now))

    def end(self, run, how):
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.run, how, ""])
        self.note("end", task=run.task, run=run.run, minion=self.id, how=how)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run <= number and not run.is_stopping:
            run.is_stopping = True
            self.note("stop", task=task, run=run.run, minion=self.id, percent=run.percent())
            self.spawn(self.finish_stop(run))
        return self.reply()

    async def finish_stop(self, run):
        await asyncio.sleep(STOP_S)
        if self.running.get(run.task) is run:
            self.end(run, "stopped")

    async def set_pace(self, body):
        run = self.running.get(body["task"])
        if run is not None and run.run == body["run"]:
            run.pace = body["percent"]
        return self.reply()

    async def hold(self, body):
        self.ends = [end for end in self.ends if end[0] > body["ackCursor"]]
        if "deadlineMs" in body:
            self.extend_lease(body["deadlineMs"])
        if body.get("waitMs", 0) and not self.ends:
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        rows = [[run.task, run.run, "", run.percent(), self.figure(run)]
                for run in self.running.values()]
        return self.reply(runningTasks=rows, ended=self.ends[:MAX_ENDS])

    def figure(self, run):
        """The tail of a subtask that serves, raised by what fills beside it; else its cpu."""
        if not run.work.get("tail_ms"):
            return run.work["cpu"]
        filling = sum(other.pace / 100 for other in self.running.values()
                      if other.work.get("fills") and other.percent() >= 100)
        return int(run.work["tail_ms"] * (1 + run.work.get("raised", 0) * filling))
