"""Stand-ins of minions and of the list of machines. Follows PROTOCOL.md, "Running subtasks"."""

import asyncio
import time

from review.standins.http import Server, json_response

HEARTBEAT_S = 1.5
STOP_S = 0.1
STARTUP_S = 0.5  # until a subtask that lasts is at work
ENDS_PER_RESPONSE = 500
EPOCH_SHIFT = 32  # the upper half of a fence number is the number of the owner
SILENCE_S = 10.0  # longer than any call waits


class Run:
    def __init__(self, task, run, seconds):
        self.task, self.run, self.seconds = task, run, seconds
        self.started_at = time.monotonic()
        self.is_stopping = False

    def percent(self):
        age = time.monotonic() - self.started_at
        if self.seconds is None:
            return min(100, int(100 * age / STARTUP_S))
        return min(99, int(100 * age / max(self.seconds, 0.001)))


class Minion:
    """One life of a machine.

    `duration` maps the name of a subtask to its seconds of work, or to None if it lasts.
    """

    def __init__(self, name, life, service, zone, rack, capacity, max_hold_ms, record, duration):
        self.id, self.machine, self.service = "i-%s-%d" % (name, life), name, service
        self.is_up = True
        self.zone, self.rack, self.capacity = zone, rack, capacity
        self.max_hold_s = max_hold_ms / 1000
        # In a partition: the number of the owner whose calls alone arrive, or whose responses are lost.
        self.reachable_from = self.unanswered_from = None
        self.record, self.duration = record, duration
        self.born = int(time.time() * 1000)
        self.token, self.lease_until = 0, 0.0
        self.running, self.highest, self.ends, self.last_end = {}, {}, [], 0
        self.ended = asyncio.Event()
        self.tasks = set()
        self.server = Server(self._handle)

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def entry(self, sequence):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "1",
                "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": sequence,
                "born": self.born, "capacity": self.capacity, "labels": ["plain", self.rack],
                "clockMs": self.clock_ms()}

    async def start(self, store):
        self.address = await self.server.start()
        self.spawn(self._report(store))

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _report(self, store):
        sequence = 0
        while True:
            sequence += 1
            store.put("keyed.servers", self.id, self.entry(sequence))
            await asyncio.sleep(HEARTBEAT_S)

    def _respond(self, status=200, **fields):
        return json_response({"clockMs": self.clock_ms(), "born": self.born, **fields}, status)

    async def _handle(self, request):
        if request.headers.get("x-expected-instance") != self.id:
            return json_response({}, 421)
        body = request.json()
        owner = body["fencingToken"] >> EPOCH_SHIFT
        is_cut = self.reachable_from not in (None, owner)
        response = None if is_cut else await self._respond_to(request.path, body)
        if is_cut or self.unanswered_from == owner:
            await asyncio.sleep(SILENCE_S)
            return None
        return response

    async def _respond_to(self, path, body):
        if body["fencingToken"] < self.token:
            return self._respond(409, reason="fence")
        self.token = body["fencingToken"]
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        if path == "/hold":
            return await self._hold(body)
        return json_response({}, 404)

    def _extend_lease(self, deadline_ms):
        now = time.monotonic()
        self.lease_until = max(self.lease_until, min(deadline_ms / 1000, now + self.max_hold_s))

    def _start(self, body):
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task].run == run:
            return self._respond()
        if body["deadlineMs"] <= self.clock_ms():
            return self._respond(409, reason="late")
        self._extend_lease(body["deadlineMs"])
        if run <= self.highest.get(task, 0) or task in self.running:
            return self._respond(409, reason="old")
        started = Run(task, run, self.duration(task))
        self.running[task] = started
        self.record("start", task=task, run=run, minion=self.id)
        self.spawn(self._execute(started))
        return self._respond()

    async def _execute(self, run):
        done_at = float("inf") if run.seconds is None else run.started_at + run.seconds
        while self.running.get(run.task) is run:
            now = time.monotonic()
            if now >= self.lease_until:
                self._end(run, "lapsed")
            elif now >= done_at:
                self._end(run, "done")
            else:
                await asyncio.sleep(max(0.002, min(done_at, self.lease_until) - now))

    def _end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.run, how, ""])
        self.record("end", task=run.task, run=run.run, minion=self.id, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _stop(self, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        found = self.running.get(task)
        if found is not None and found.run <= run and not found.is_stopping:
            found.is_stopping = True
            self.record("stop", task=task, run=found.run, minion=self.id, percent=found.percent())
            self.spawn(self._finish_stop(found))
        return self._respond()

    async def _finish_stop(self, run):
        await asyncio.sleep(STOP_S)
        self._end(run, "stopped")

    async def _hold(self, body):
        for number, task, run, how, _ in self.ends:
            if number <= body["ackCursor"]:
                self.record("noted", task=task, run=run, minion=self.id, how=how)
        self.ends = [end for end in self.ends if end[0] > body["ackCursor"]]
        if "deadlineMs" in body:
            self._extend_lease(body["deadlineMs"])
        if body.get("waitMs", 0) and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass  # nothing has ended in time
        rows = [[run.task, run.run, "", run.percent(), 0] for run in self.running.values()]
        return self._respond(runningTasks=rows, ended=self.ends[:ENDS_PER_RESPONSE])

    def fail(self, run):
        self._end(run, "failed")

    def crash(self):
        self.is_up = False
        for run in self.running.values():
            self.record("lost", task=run.task, run=run.run, minion=self.id)
        self.running.clear()
        self.stop()

    def stop(self):
        for task in list(self.tasks):
            task.cancel()
        self.server.stop()


class MachineList:
    """GET /machines; it refuses all moves and upkeeps, which these cases do not need."""

    def __init__(self, minions):
        self.minions = minions
        self.server = Server(self._handle)

    async def start(self):
        return await self.server.start()

    async def _handle(self, request):
        if request.path != "/machines":
            return json_response({"reason": "busy"}, 409)
        return json_response({"machines": [
            {"machine": minion.machine, "pool": minion.service, "zone": minion.zone,
             "state": "up" if minion.is_up else "down", "labels": ["plain", minion.rack],
             "capacity": minion.capacity, **({"id": minion.id} if minion.is_up else {})}
            for minion in self.minions]})
