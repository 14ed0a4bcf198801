"""Stand-ins of minions and of the list of machines."""

import asyncio
import json
import time

import web

CAPACITY = {"cpu": 16000, "memMb": 65536, "gpu": 0}
MAX_HOLD_S = 10.0
STOP_S = 0.1
REPORT_S = 1.5
WARM_UP_S = 0.3  # of a subtask that lasts, until it is at work
GANG_TIMEOUT_S = 3.0
ENDS_PER_RESPONSE = 500


class Work:
    """How a subtask behaves: seconds of work, whether it lasts, the size of its gang or 0."""

    def __init__(self, seconds, lasts=False, gang=0, fails=False):
        self.seconds, self.lasts, self.gang, self.fails = seconds, lasts, gang, fails


class Run:
    def __init__(self, task, number, work):
        self.task, self.number, self.work = task, number, work
        self.began_at = None if work.gang else time.monotonic()
        self.present_since = time.monotonic()
        self.is_stopping = False

    def percent(self):
        if self.began_at is None:
            return 0
        share = (time.monotonic() - self.began_at) / (WARM_UP_S if self.work.lasts
                                                      else max(self.work.seconds, 0.001))
        return min(100 if self.work.lasts else 99, int(100 * share))


class Minion:
    """One life of a machine."""

    def __init__(self, minion_id, machine, fleet):
        self.id, self.machine, self.fleet = minion_id, machine, fleet
        self.service = machine.pool
        self.born = int(time.time() * 1000)
        self.clock_base = time.monotonic() - 100
        self.token = 0
        self.lease_until = 0.0
        self.running = {}  # task -> Run
        self.highest = {}  # task -> highest run stopped or ended here
        self.ends = []  # [N, task, run, how, saved]
        self.last_end = 0
        self.state = "ready"
        self.is_alive = True
        self.ended = asyncio.Event()
        self.server = self.address = None

    def clock_ms(self):
        return int((time.monotonic() - self.clock_base) * 1000)

    def entry(self, sequence):
        return json.dumps({
            "service": self.service, "address": self.address, "zone": self.machine.zone,
            "version": "1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
            "sequence": sequence, "born": self.born, "capacity": CAPACITY,
            "labels": [self.machine.kind, self.machine.rack],
            "clockMs": self.clock_ms()}).encode()

    async def start(self):
        self.server, self.address = await web.serve(self._handle)

    async def _handle(self, request):
        if not self.is_alive:
            raise web.Drop
        if request.headers.get("x-expected-instance", self.id) != self.id:
            return 421, self._body()
        if self.fleet.intercept is not None:
            await self.fleet.intercept(self, request)
        body = request.json()
        if body["fencingToken"] < self.token:
            return 409, self._body(reason="fence")
        self.token = body["fencingToken"]
        handlers = {"/run-start": self._start, "/run-stop": self._stop, "/hold": self._hold}
        status, answer = await handlers[request.path](body)
        if not self.is_alive:
            raise web.Drop
        return status, answer

    def _body(self, **fields):
        return {"clockMs": self.clock_ms(), "born": self.born, **fields}

    def _extend(self, deadline_ms):
        now = time.monotonic()
        until = min(deadline_ms / 1000 + self.clock_base, now + MAX_HOLD_S)
        self.lease_until = max(self.lease_until, until)

    async def _start(self, body):
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, self._body()
        if body["deadlineMs"] <= self.clock_ms():
            return 409, self._body(reason="late")
        self._extend(body["deadlineMs"])
        if number <= self.highest.get(task, 0) or present is not None:
            return 409, self._body(reason="old")
        run = Run(task, number, self.fleet.work_of(task, number))
        self.running[task] = run
        self.fleet.note("start", task=task, run=number, minion=self.id, service=self.service,
                        spec=body["spec"], checkpoint=body.get("checkpoint", ""))
        self.fleet.spawn(self._execute(run))
        if run.work.gang:
            self.fleet.join_gang(run)
        return 200, self._body()

    async def _execute(self, run):
        while self.is_alive and self.running.get(run.task) is run:
            now = time.monotonic()
            work = run.work
            if now >= self.lease_until:
                self.end(run, "lapsed")
            elif run.began_at is None and now >= run.present_since + GANG_TIMEOUT_S:
                self.end(run, "alone")
            elif (run.began_at is not None and not work.lasts
                  and now >= run.began_at + work.seconds):
                self.end(run, "failed" if work.fails else "done")
            else:
                await asyncio.sleep(0.01)

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.fleet.note("end", task=run.task, run=run.number, minion=self.id, how=how)
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()
        if run.work.gang:
            self.fleet.end_gang(run, how)

    async def _stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            self.fleet.note("stop", task=task, run=run.number, minion=self.id,
                            percent=run.percent())
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        return 200, self._body()

    async def _hold(self, body):
        cursor = body["ackCursor"]
        for end in self.ends:
            if end[0] <= cursor:
                self.fleet.note("noted", task=end[1], run=end[2], minion=self.id, how=end[3])
        self.ends = [end for end in self.ends if end[0] > cursor]
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        if not self.ends and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.ended.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", run.percent(), 0] for run in self.running.values()]
        return 200, self._body(runningTasks=running, ended=self.ends[:ENDS_PER_RESPONSE])

    def shut(self, how):
        """The life ends: all that runs here ends with it, and open channels are reset."""
        self.is_alive = False
        for run in list(self.running.values()):
            self.fleet.note("end", task=run.task, run=run.number, minion=self.id, how=how)
            if run.work.gang:
                self.fleet.end_gang(run, how)
        self.running.clear()
        self.ended.set()
        if self.server is not None:
            self.server.close()


class Machine:
    def __init__(self, name, pool, zone, rack, kind):
        self.name, self.pool, self.zone, self.rack, self.kind = name, pool, zone, rack, kind
        self.state = "up"
        self.wave = None
        self.minion = None


class Fleet:
    """Machines with their minions. `note(kind, **fields)` records what is seen."""

    def __init__(self, store, note, work_of, migration_s=1.5, maintenance_s=2.0):
        self.store, self.note, self.work_of = store, note, work_of
        self.migration_s, self.maintenance_s = migration_s, maintenance_s
        self.machines = {}
        self.intercept = None
        self.gangs = {}  # (step, run) -> runs that are present
        self.lives = 0
        self.tasks = set()
        self.waves = {}  # number -> (machines, cap)
        self.upkept = {}  # number -> machines

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def add(self, name, pool, zone, rack, kind="a"):
        machine = self.machines[name] = Machine(name, pool, zone, rack, kind)
        await self._live(machine)

    async def _live(self, machine):
        self.lives += 1
        minion = Minion("i-%04d" % self.lives, machine, self)
        await minion.start()
        machine.minion, machine.state, machine.wave = minion, "up", None
        self.note("life", machine=machine.name, minion=minion.id, service=machine.pool)
        self.spawn(self._report(minion))

    async def _report(self, minion):
        sequence = 0
        while minion.is_alive:
            sequence += 1
            self.store.put("keyed.servers", minion.id, minion.entry(sequence))
            await asyncio.sleep(REPORT_S)

    async def _return_after(self, machine, seconds):
        await asyncio.sleep(seconds)
        await self._live(machine)

    def _end_life(self, machine, how):
        minion, machine.minion = machine.minion, None
        if minion is None:
            return
        minion.shut(how)
        delay = 3 * REPORT_S if how == "crashed" else 0
        asyncio.get_running_loop().call_later(
            delay, self.store.put, "keyed.servers", minion.id, None)

    def crash(self, name, down_s):
        machine = self.machines[name]
        machine.state = "down"
        self.note("crash", machine=name, minion=machine.minion.id)
        self._end_life(machine, "crashed")
        self.spawn(self._return_after(machine, down_s))

    def minion_that_runs(self, task):
        for machine in self.machines.values():
            if machine.minion is not None and task in machine.minion.running:
                return machine
        return None

    def join_gang(self, run):
        key = (run.task.rsplit(".", 1)[0], run.number)
        members = self.gangs.setdefault(key, [])
        members.append(run)
        if len(members) == run.work.gang:
            for member in members:
                member.began_at = time.monotonic()

    def end_gang(self, run, how):
        key = (run.task.rsplit(".", 1)[0], run.number)
        members = self.gangs.get(key, [])
        if run in members:
            members.remove(run)
        if run.began_at is None or how == "alone":
            return
        for machine in self.machines.values():
            minion = machine.minion
            for member in [] if minion is None else list(minion.running.values()):
                if member in members:
                    minion.end(member, how if how in ("done", "failed") else "broken")

    async def handle(self, request):
        if request.path == "/machines":
            return 200, {"machines": [
                {"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone,
                 "labels": [m.kind, m.rack], "capacity": CAPACITY,
                 **({"id": m.minion.id} if m.minion else {})} for m in self.machines.values()]}
        body = request.json()
        machine = self.machines.get(body["machine"])
        if machine is None:
            return 400, {}
        self.note("machine-order", machine=machine.name, order=request.path[1:],
                  to=body.get("pool", body.get("wave")),
                  holder=request.headers["x-lease-holder"],
                  token=int(request.headers["x-fencing-token"]))
        if request.path == "/machine-move":
            return self._move(machine, body["pool"])
        return self._upkeep(machine, body["wave"])

    def _move(self, machine, pool):
        if machine.pool == pool:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.state = "moving"
        self._end_life(machine, "moved")
        machine.pool = pool
        self.spawn(self._return_after(machine, self.migration_s))
        return 200, {}

    def _upkeep(self, machine, wave):
        if machine.name in self.upkept.get(wave, ()):
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        if machine.name not in self.waves.get(wave, ((), 0))[0]:
            return 409, {"reason": "wave"}
        away = sum(m.state == "upkeep" and m.wave == wave for m in self.machines.values())
        self.note("upkeep", machine=machine.name, wave=wave, away=away)
        self.upkept.setdefault(wave, set()).add(machine.name)
        machine.state, machine.wave = "upkeep", wave
        self._end_life(machine, "upkeep")
        self.spawn(self._return_after(machine, self.maintenance_s))
        return 200, {}

    def request_wave(self, number, names, cap, duration_s):
        self.waves[number] = (set(names), cap)
        self.note("wave", wave=number, machines=sorted(names), cap=cap)
        self.store.put("keyed.op", "wave/%d" % number, json.dumps(
            {"wave": number, "machines": sorted(names), "durationS": duration_s,
             "cap": cap}).encode())
