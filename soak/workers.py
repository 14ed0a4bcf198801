"""Simulated workers: tasks under leases, fencing tokens, numbered completions."""

import asyncio
import json
import random
import time

from aiohttp import web

from soak.serving import abort_connection

MAX_HOLD_S = 6.0
STOP_DURATION_S = 0.1
HEARTBEAT_S = 1.5
WARM_UP_S = 0.3  # until a long-running task counts as running fully
COMPLETIONS_PER_RESPONSE = 500


class Run:
    def __init__(self, task, run, seconds, is_long_running, fails):
        self.task, self.run = task, run
        self.started_at = time.monotonic()
        self.seconds, self.is_long_running, self.fails = seconds, is_long_running, fails
        self.is_stopping = False

    def percent(self):
        age = time.monotonic() - self.started_at
        full_s = WARM_UP_S if self.is_long_running else self.seconds
        return min(100 if self.is_long_running else 99, int(100 * age / max(full_s, 0.001)))


class Worker:
    """One incarnation of a machine.

    `describe_task` maps a task and a run to (seconds, is_long_running, fails).
    """

    def __init__(self, worker_id, machine, service, history, describe_task, seed):
        self.id, self.machine, self.service = worker_id, machine, service
        self.history, self.describe_task = history, describe_task
        self.random = random.Random(seed)
        self.started_unix_ms = int(time.time() * 1000)
        self.offset_ms = self.random.randrange(100_000)
        self.token = 0
        self.lease_until = 0.0
        self.running = {}  # task -> Run
        self.highest_run = {}  # task -> highest run that was stopped or completed here
        self.completions = []  # [number, task, run, result, checkpoint]
        self.next_completion = 1
        self.acknowledged = 0
        self.is_alive = True
        self.is_silent = False
        self.fails_all = False
        self.late_command_ratio = 0.0  # of the commands that are executed late without a response
        self.completed = asyncio.Condition()
        self.tasks = set()
        self.app = web.Application()
        for path, handler in (("/run-start", self._start), ("/run-stop", self._stop),
                              ("/hold", self._poll)):
            self.app.router.add_post(path, self._with_faults(handler))

    def clock_ms(self):
        return int(time.monotonic() * 1000) + self.offset_ms

    def server_entry(self, address, zone, sequence):
        return json.dumps({
            "service": self.service, "address": address, "zone": zone, "version": "1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "sequence": sequence,
            "born": self.started_unix_ms,
            "capacity": {"cpu": 4000, "memMb": 8000, "gpu": 0},
            "labels": ["plain", "rack-" + zone], "clockMs": self.clock_ms()}).encode()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def shut_down(self, result):
        """Ends all runs. `result` names the command that ended them, or says that they crashed."""
        self.is_alive = False
        for run in list(self.running.values()):
            self.history.add("end", task=run.task, run=run.run, worker=self.id, how=result)
        self.running.clear()
        for task in list(self.tasks):
            task.cancel()

    def _with_faults(self, handler):
        async def handle(request):
            if not self.is_alive or self.is_silent:
                await asyncio.sleep(5)
                return abort_connection(request)
            if request.headers.get("X-Expected-Instance") != self.id:
                return web.json_response({}, status=421)
            try:
                body = await request.json()
            except ConnectionError:
                # The connection closed before the whole request arrived.
                return abort_connection(request)
            if handler != self._poll and self.random.random() < self.late_command_ratio:
                self.spawn(self._execute_late(handler, body))
                await asyncio.sleep(5)
                return abort_connection(request)
            return await handler(body, False)
        return handle

    async def _execute_late(self, handler, body):
        await asyncio.sleep(self.random.uniform(2, 6))
        if self.is_alive:
            await handler(body, True)

    def _respond(self, status=200, **fields):
        return web.json_response(
            {"clockMs": self.clock_ms(), "born": self.started_unix_ms, **fields}, status=status)

    def _accept_token(self, token):
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend_lease(self, deadline_ms):
        now = time.monotonic()
        until = (deadline_ms - self.offset_ms) / 1000
        if not self.running and self.lease_until < now:
            self.lease_until = 0.0
        self.lease_until = max(self.lease_until, min(until, now + MAX_HOLD_S))

    async def _start(self, body, is_late):
        task, run = body["task"], body["run"]
        if not self._accept_token(body["fencingToken"]):
            return self._respond(409, reason="fence")
        if task in self.running and self.running[task].run == run:
            return self._respond()
        if body["deadlineMs"] <= self.clock_ms():
            return self._respond(409, reason="late")
        self._extend_lease(body["deadlineMs"])
        if run <= self.highest_run.get(task, 0) or task in self.running:
            return self._respond(409, reason="old")
        seconds, is_long_running, fails = self.describe_task(task, run)
        started = Run(task, run, seconds, is_long_running, fails or self.fails_all)
        self.running[task] = started
        self.history.add("start", task=task, run=run, worker=self.id, service=self.service,
                         spec=body["spec"], late=is_late)
        self.spawn(self._execute(started))
        return self._respond()

    async def _execute(self, run):
        done_at = run.started_at + run.seconds
        while run.task in self.running and self.running[run.task] is run:
            now = time.monotonic()
            if now >= self.lease_until:
                await self._complete(run, "lapsed")
            elif not run.is_long_running and now >= done_at:
                await self._complete(run, "failed" if run.fails else "done")
            elif run.is_long_running and run.fails and now >= run.started_at + WARM_UP_S:
                await self._complete(run, "failed")
            else:
                wake_at = (self.lease_until if run.is_long_running
                           else min(done_at, self.lease_until))
                await asyncio.sleep(max(0.005, min(wake_at - now, 0.2)))

    async def _complete(self, run, result):
        if self.running.pop(run.task, None) is None:
            return
        self.highest_run[run.task] = max(self.highest_run.get(run.task, 0), run.run)
        self.completions.append([self.next_completion, run.task, run.run, result, ""])
        self.history.add("end", task=run.task, run=run.run, worker=self.id, how=result,
                         number=self.next_completion)
        self.next_completion += 1
        async with self.completed:
            self.completed.notify_all()

    async def _stop(self, body, is_late):
        task, run = body["task"], body["run"]
        if not self._accept_token(body["fencingToken"]):
            return self._respond(409, reason="fence")
        self.highest_run[task] = max(self.highest_run.get(task, 0), run)
        stopped = self.running.get(task)
        if stopped is not None and stopped.run <= run and not stopped.is_stopping:
            stopped.is_stopping = True
            self.history.add("stop", task=task, run=stopped.run, worker=self.id,
                             percent=stopped.percent(), late=is_late)
            self.spawn(self._finish_stop(stopped))
        return self._respond()

    async def _finish_stop(self, run):
        await asyncio.sleep(STOP_DURATION_S)
        await self._complete(run, "stopped")

    async def _poll(self, body, _):
        if not self._accept_token(body["fencingToken"]):
            return self._respond(409, reason="fence")
        cursor = body["ackCursor"]
        if cursor > self.acknowledged:
            for number, task, run, result, _ in self.completions:
                if self.acknowledged < number <= cursor:
                    self.history.add("noted", task=task, run=run, worker=self.id, how=result)
            self.acknowledged = cursor
            self.completions = [each for each in self.completions if each[0] > cursor]
        if "deadlineMs" in body:
            self._extend_lease(body["deadlineMs"])
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not self.completions:
            try:
                async with self.completed:
                    await asyncio.wait_for(
                        self.completed.wait_for(lambda: bool(self.completions)), wait_s)
            except asyncio.TimeoutError:
                pass  # nothing completed in time; responds with the current lists
        rows = [[run.task, run.run, "", run.percent(), 0] for run in self.running.values()]
        return self._respond(runningTasks=rows, ended=self.completions[:COMPLETIONS_PER_RESPONSE])
