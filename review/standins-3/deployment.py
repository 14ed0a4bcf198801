"""A small deployment on loopback: the platform, its machines, entry processes and callers."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import minions  # noqa: E402
import store  # noqa: E402
import web  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "queues.example"
BEAT_S = 1.5
SILENT_BEATS = 3  # after which the platform removes an entry
MOVE_S = 1.5

SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "edge"
zone = "{zone}"
region = "r"
seedNodes = []
heartbeatIntervalMs = 1500
orders = "call"
[listenAddrs]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = 10000
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
migrationS = 1.5
maintenanceS = 2
noticeMs = 4500
fencingRequired = false
leaseMs = 3000
paceMs = 100
disruptionMs = 4000
[platform]
address = "{store}"
form = "log"
parts = 12
maxRecordBytes = 262144
maxCallBytes = 2097152
[cloudApi]
address = "{machines}"
"""


class Record:
    """The events of a run, with seconds since its begin; also written to a file."""

    def __init__(self, path):
        self.file, self.events, self.begin = open(path, "w"), [], time.monotonic()

    def note(self, kind, **fields):
        at = round(time.monotonic() - self.begin, 3)
        self.events.append({"at": at, "kind": kind, **fields})
        self.file.write("%8.3f %s %s\n" % (at, kind, " ".join(
            "%s=%s" % each for each in fields.items())))
        self.file.flush()

    def now(self):
        return time.monotonic() - self.begin


class Machine:
    def __init__(self, name, pool, number):
        self.name, self.pool, self.lives = name, pool, 0
        self.zone, self.labels = "z%d" % (number % 3), ["a", "r%d" % (number // 4)]
        self.state, self.minion, self.server = "up", None, None


class Deployment:
    """`pools` maps services to numbers of machines; `routes` maps queues to services.

    `capacity` is that of each machine. `work_of(task, run)` describes what a start runs.
    """

    def __init__(self, folder, pools, routes, capacity, work_of, entries=3):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.note, self.pools, self.routes = self.record.note, pools, routes
        self.capacity, self.work_of = capacity, work_of
        self.started = lambda task, run, machine: None  # called for each start
        self.store = store.Store()
        self.machines, self.processes, self.tasks = {}, [], set()
        for pool, count in pools.items():
            for _ in range(count):
                name = "m%d" % (len(self.machines) + 1)
                self.machines[name] = Machine(name, pool, len(self.machines))
        self.entries = entries
        self.scratch = tempfile.mkdtemp(prefix="poplar-case-")
        self.fronts = []

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # The platform.

    def configure(self, version):
        routes = [{"name": queue, "host": HOST, "pathPrefix": "/%s/" % queue, "service": service,
                   "priority": 0, "maxAttempts": 3, "stretch": 2.0, "targetCompletionMs": 2000}
                  for queue, service in self.routes.items()]
        services = [{"name": pool, "admissionCheck": False} for pool in self.pools]
        self.store.put("keyed.op", "config", json.dumps(
            {"version": version, "routes": routes, "services": services, "limits": {}}).encode())

    async def start_life(self, machine):
        machine.lives += 1
        machine.state = "up"

        def note(kind, **fields):
            self.note(kind, **fields)
            if kind == "start":
                self.started(fields["task"], fields["run"], machine)
        minion = minions.Minion("%s-life%d" % (machine.name, machine.lives), self.work_of, note)
        server = web.Server(minion.handle)
        address = await server.start()
        machine.minion, machine.server = minion, server
        self.note("minion-up", minion=minion.id, machine=machine.name, service=machine.pool)
        self.spawn(self.send_beats(machine, minion, address))

    async def send_beats(self, machine, minion, address):
        sequence = 0
        while minion.is_alive:
            sequence += 1
            self.store.put("keyed.servers", minion.id, json.dumps(
                {"service": machine.pool, "address": address, "zone": machine.zone,
                 "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                 "sequence": sequence, "born": minion.born, "capacity": self.capacity,
                 "labels": machine.labels, "clockMs": minion.clock_ms()}).encode())
            await asyncio.sleep(BEAT_S)
        await asyncio.sleep(BEAT_S * (SILENT_BEATS - 1))
        self.store.put("keyed.servers", minion.id, None)

    def crash(self, machine, down_s):
        """The minion's process is gone at once; a new life begins after `down_s`."""
        self.note("crash", machine=machine.name, minion=machine.minion.id, down_s=down_s)
        machine.state = "down"
        machine.minion.crash()
        machine.server.abort()
        machine.minion = None
        self.spawn(self.restart_after(machine, down_s))

    async def restart_after(self, machine, seconds):
        await asyncio.sleep(seconds)
        await self.start_life(machine)

    async def handle_machines(self, request):
        if request.path == "/machines":
            rows = []
            for machine in self.machines.values():
                row = {"machine": machine.name, "pool": machine.pool, "state": machine.state,
                       "zone": machine.zone, "labels": machine.labels, "capacity": self.capacity}
                if machine.minion is not None:
                    row["id"] = machine.minion.id
                rows.append(row)
            return 200, {"machines": rows}
        if request.path != "/machine-move":
            return 404, {}
        body = request.json()
        machine = self.machines.get(body["machine"])
        if machine is None or body["pool"] not in self.pools:
            return 400, {}
        self.note("move", machine=machine.name, to=body["pool"],
                  token=request.headers.get("x-fencing-token"))
        if machine.pool == body["pool"]:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.minion.crash()
        machine.server.abort()
        machine.minion, machine.state, machine.pool = None, "moving", body["pool"]
        self.spawn(self.restart_after(machine, MOVE_S))
        return 200, {}

    # The entry processes.

    async def start(self):
        self.configure(1)
        for machine in self.machines.values():
            await self.start_life(machine)
        self.servers = [web.Server(self.store.handle), web.Server(self.handle_machines)]
        addresses = [await server.start() for server in self.servers]
        binary = ROOT / "target" / "poplarstream"
        if not binary.exists():
            raise FileNotFoundError("%s: build it as the deploy file says" % binary.name)
        for number in range(self.entries):
            # An address of its own for each process: the port of the metrics is the same for all.
            host = "127.%d.%d.%d" % (60 + os.getpid() // 250 % 60, 1 + os.getpid() % 250, number + 1)
            path = pathlib.Path(self.scratch) / ("entry-%d.toml" % number)
            path.write_text(SETTINGS.format(
                name="entry-%d" % number, zone="z%d" % (number % 3), host=host, front=8624,
                ready=8622, control=8623, store=addresses[0], machines=addresses[1]))
            log = open(pathlib.Path(self.scratch) / ("entry-%d.log" % number), "ab")
            environment = {"PATH": os.environ["PATH"], "POPLARSTREAM_CONFIG": str(path)}
            self.processes.append(subprocess.Popen(
                [str(binary), "entry"], cwd=ROOT, env=environment, stdout=log, stderr=log))
            self.fronts.append("%s:8624" % host)
        await self.await_service()

    async def await_service(self):
        """Waits until a count is answered, which needs an owner."""
        queue = next(iter(self.routes))
        for _ in range(150):
            status, _ = await self.ask("GET", queue, "")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the deployment does not begin to serve")

    async def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        for machine in self.machines.values():
            if machine.server is not None:
                machine.server.abort()
        for server in self.servers:
            server.abort()
        for task in list(self.tasks):
            task.cancel()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.scratch, ignore_errors=True)

    # Callers.

    async def ask(self, method, queue, job, value=None, front=0):
        return await web.call(self.fronts[front % len(self.fronts)], method,
                              "/%s/%s" % (queue, job),
                              [("Host", HOST), ("X-Time-Remaining-Ms", "3000")], value)

    async def submit(self, queue, job, spec):
        """Hands a job in, again with the same ID after no response, 502, 503, 504 or 429."""
        for attempt in range(5):
            status, body = await self.ask("POST", queue, job, spec, attempt)
            self.note("submit", job=job, queue=queue, attempt=attempt + 1, answer=status)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(1.0)
        return False

    async def state(self, queue, job, front=0):
        for attempt in range(4):
            status, body = await self.ask("GET", queue, job, None, front + attempt)
            if status == 200:
                state = json.loads(body)["state"]
                self.note("state", job=job, answer=status, state=state)
                return state
            self.note("state", job=job, answer=status)
            if status == 410:
                return "unknown"
            await asyncio.sleep(0.3)
        return None
