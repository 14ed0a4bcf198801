"""Stand-in of the workers: tasks under leases, fencing tokens, numbered ends."""

import asyncio
import json
import random
import time

from aiohttp import web

from soak.serving import hang_up

MAX_HOLD_S = 6.0
STOP_S = 0.1
HEARTBEAT_S = 1.5
START_UP_S = 0.3  # until a long-running task is at work
ENDS_PER_ANSWER = 500


class Run:
    def __init__(self, task, run, seconds, is_lasting, fails):
        self.task, self.run = task, run
        self.begun = time.monotonic()
        self.seconds, self.is_lasting, self.fails = seconds, is_lasting, fails
        self.is_stopping = False

    def percent(self):
        age = time.monotonic() - self.begun
        whole = START_UP_S if self.is_lasting else self.seconds
        return min(100 if self.is_lasting else 99, int(100 * age / max(whole, 0.001)))


class Worker:
    """One life of a machine. `work` tells what a task is: (seconds, is_lasting, fails)."""

    def __init__(self, identity, machine, service, history, work, seed):
        self.id, self.machine, self.service = identity, machine, service
        self.history, self.work = history, work
        self.random = random.Random(seed)
        self.born = int(time.time() * 1000)
        self.offset_ms = self.random.randrange(100_000)
        self.token = 0
        self.lease_until = 0.0
        self.running = {}  # task -> Run
        self.highest = {}  # task -> highest run that stopped or ended here
        self.ends = []  # [number, task, run, how, saved]
        self.next_end = 1
        self.acknowledged = 0
        self.is_alive = True
        self.is_silent = False
        self.fails_all = False
        self.late_share = 0.0  # of the orders that are carried out late and not answered
        self.ended = asyncio.Condition()
        self.tasks = set()
        self.app = web.Application()
        for path, handler in (("/run-start", self._start), ("/run-stop", self._stop),
                              ("/hold", self._hold)):
            self.app.router.add_post(path, self._guarded(handler))

    def clock_ms(self):
        return int(time.monotonic() * 1000) + self.offset_ms

    def entry(self, address, zone, sequence):
        return json.dumps({
            "service": self.service, "address": address, "zone": zone, "version": "1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": self.born,
            "capacity": {"cpu": 4000, "memMb": 8000, "gpu": 0},
            "labels": ["plain", "rack-" + zone], "clockMs": self.clock_ms()}).encode()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def die(self, how):
        """Everything here ends. `how` is an order of the system, or a crash."""
        self.is_alive = False
        for run in list(self.running.values()):
            self.history.add("end", task=run.task, run=run.run, worker=self.id, how=how)
        self.running.clear()
        for task in list(self.tasks):
            task.cancel()

    def _guarded(self, handler):
        async def guarded(request):
            if not self.is_alive or self.is_silent:
                await asyncio.sleep(5)
                return hang_up(request)
            if request.headers.get("X-Expected-Instance") != self.id:
                return web.json_response({}, status=421)
            try:
                body = await request.json()
            except ConnectionError:
                return hang_up(request)  # the request was cut off before it was whole
            if handler != self._hold and self.random.random() < self.late_share:
                self.spawn(self._carry_out_late(handler, body))
                await asyncio.sleep(5)
                return hang_up(request)
            return await handler(body, False)
        return guarded

    async def _carry_out_late(self, handler, body):
        await asyncio.sleep(self.random.uniform(2, 6))
        if self.is_alive:
            await handler(body, True)

    def _answer(self, status=200, **fields):
        return web.json_response(
            {"clockMs": self.clock_ms(), "born": self.born, **fields}, status=status)

    def _take_token(self, token):
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, deadline_ms):
        now = time.monotonic()
        until = (deadline_ms - self.offset_ms) / 1000
        if not self.running and self.lease_until < now:
            self.lease_until = 0.0
        self.lease_until = max(self.lease_until, min(until, now + MAX_HOLD_S))

    async def _start(self, body, is_late):
        task, run = body["task"], body["run"]
        if not self._take_token(body["fencingToken"]):
            return self._answer(409, reason="fence")
        if task in self.running and self.running[task].run == run:
            return self._answer()
        if body["deadlineMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadlineMs"])
        if run <= self.highest.get(task, 0) or task in self.running:
            return self._answer(409, reason="old")
        seconds, is_lasting, fails = self.work(task, run)
        started = Run(task, run, seconds, is_lasting, fails or self.fails_all)
        self.running[task] = started
        self.history.add("start", task=task, run=run, worker=self.id, service=self.service,
                         spec=body["spec"], late=is_late)
        self.spawn(self._execute(started))
        return self._answer()

    async def _execute(self, run):
        done_at = run.begun + run.seconds
        while run.task in self.running and self.running[run.task] is run:
            now = time.monotonic()
            if now >= self.lease_until:
                await self._end(run, "lapsed")
            elif not run.is_lasting and now >= done_at:
                await self._end(run, "failed" if run.fails else "done")
            elif run.is_lasting and run.fails and now >= run.begun + START_UP_S:
                await self._end(run, "failed")
            else:
                soonest = self.lease_until if run.is_lasting else min(done_at, self.lease_until)
                await asyncio.sleep(max(0.005, min(soonest - now, 0.2)))

    async def _end(self, run, how):
        if self.running.pop(run.task, None) is None:
            return
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ends.append([self.next_end, run.task, run.run, how, ""])
        self.history.add("end", task=run.task, run=run.run, worker=self.id, how=how,
                         number=self.next_end)
        self.next_end += 1
        async with self.ended:
            self.ended.notify_all()

    async def _stop(self, body, is_late):
        task, run = body["task"], body["run"]
        if not self._take_token(body["fencingToken"]):
            return self._answer(409, reason="fence")
        self.highest[task] = max(self.highest.get(task, 0), run)
        found = self.running.get(task)
        if found is not None and found.run <= run and not found.is_stopping:
            found.is_stopping = True
            self.history.add("stop", task=task, run=found.run, worker=self.id,
                             percent=found.percent(), late=is_late)
            self.spawn(self._finish_stop(found))
        return self._answer()

    async def _finish_stop(self, run):
        await asyncio.sleep(STOP_S)
        await self._end(run, "stopped")

    async def _hold(self, body, _):
        if not self._take_token(body["fencingToken"]):
            return self._answer(409, reason="fence")
        cursor = body["ackCursor"]
        if cursor > self.acknowledged:
            for number, task, run, how, _ in self.ends:
                if self.acknowledged < number <= cursor:
                    self.history.add("noted", task=task, run=run, worker=self.id, how=how)
            self.acknowledged = cursor
            self.ends = [end for end in self.ends if end[0] > cursor]
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not self.ends:
            try:
                async with self.ended:
                    await asyncio.wait_for(self.ended.wait_for(lambda: bool(self.ends)), wait_s)
            except asyncio.TimeoutError:
                pass  # no end within the wait; the lists tell so
        rows = [[run.task, run.run, "", run.percent(), 0] for run in self.running.values()]
        return self._answer(runningTasks=rows, ended=self.ends[:ENDS_PER_ANSWER])
