"""A small deployment: entry processes, the stand-ins of the platform, and a record of events."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import web
from minions import Fleet
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "poplarstream"
HOST = "queues.example"
ZONES = ("z-a", "z-b", "z-c", "z-d")
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S, RUN_TIMEOUT_S = 25, 88

SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internalPortRange = [7060,7075]
seedNodes = [{seeds}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatIntervalMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
[zones]
z-a = "r"
z-b = "r"
z-c = "r"
z-d = "r"
[listenAddrs]
front = "{ip}:8624"
ready = "{ip}:8622"
control = "{ip}:8623"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 1.5
checkpointIntervalS = 2
restoreMs = 100
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingRequired = false
leaseMs = 3000
thawSlackMs = 300
paceMs = 100
disruptionMs = 4000
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbPerS = 20.0
readMbPerS = 80.0
maxRecordBytes = 262144
maxCallBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
[cloudApi]
address = "{machines}"
ratePerS = 64.0
dutyPerS = 64.0
"""


class Record:
    """What was sent, answered and run, in order, for record.txt."""

    def __init__(self):
        self.begun_at = time.monotonic()
        self.events = []

    def now(self):
        return time.monotonic() - self.begun_at

    def note(self, kind, **fields):
        self.events.append({"t": round(self.now(), 3), "kind": kind, **fields})

    def of(self, kind, **fields):
        return [event for event in self.events if event["kind"] == kind
                and all(event.get(name) == value for name, value in fields.items())]

    def write(self, path):
        path.write_text("".join(json.dumps(event) + "\n" for event in self.events))


class Channel:
    """A connection of a link."""

    def __init__(self):
        self.is_silent = False


class Link:
    """Forwards connections to `target`. `silence()` holds back both ways what the connections
    that are open then carry, for good and without a reset; connections made later work."""

    def __init__(self, target):
        self.target = target
        self.open = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def silence(self):
        for channel in self.open:
            channel.is_silent = True

    async def _accept(self, reader, writer):
        channel = Channel()
        self.open.add(channel)
        upstream = None
        try:
            host, port = self.target.rsplit(":", 1)
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            await asyncio.gather(_pump(reader, upstream, channel),
                                 _pump(upstream_reader, writer, channel))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(channel)
            for end in (writer, upstream):
                if end is not None:
                    end.transport.abort()


async def _pump(reader, writer, channel):
    while True:
        block = await reader.read(65536)
        if channel.is_silent:
            while block:  # what arrives is lost, as is the end of the connection
                block = await reader.read(65536)
            raise ConnectionResetError
        if not block:
            raise ConnectionResetError
        writer.write(block)
        await writer.drain()


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, number, network, folder):
        self.name = "edge-%d" % number
        self.ip = "%s.%d" % (network, number + 1)
        self.zone = ZONES[number % len(ZONES)]
        self.folder = folder
        self.process = None
        self.store_link = None

    async def prepare(self, store, machines, seeds):
        self.store_link = Link(store)
        self.settings = self.folder / (self.name + ".toml")
        self.settings.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.zone,
            seeds=",".join('"%s:8623"' % ip for ip in seeds),
            store=await self.store_link.start(), machines=machines))

    def start(self):
        with open(self.folder / (self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                [str(BINARY), "entry"], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "POPLARSTREAM_CONFIG": str(self.settings)})

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """`services` maps a service to its number of machines; `spare` names the standby one."""

    def __init__(self, work_of, services, spare=None, processes=4, max_attempts=3):
        self.record = Record()
        self.store = Store()
        self.fleet = Fleet(self.store, self.record.note, work_of)
        self.services, self.spare, self.max_attempts = services, spare, max_attempts
        self.routes = [name for name in services if name != spare]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="poplar-review-"))  # settings and logs
        pid = os.getpid()
        network = "127.%d.%d" % (30 + pid // 250 % 60, 1 + pid % 250)
        self.entries = [Entry(number, network, self.folder) for number in range(processes)]
        self.version = 0
        self.servers = []

    def note(self, kind, **fields):
        self.record.note(kind, **fields)

    def write_config(self):
        """The operator's newest configuration; its ack is the moment of this call."""
        self.version += 3
        routes = [{"name": "q-" + name, "host": HOST, "pathPrefix": "/%s/" % name,
                   "service": name if name in self.services else self.routes[0], "priority": 0,
                   "maxAttempts": self.max_attempts, "stretch": 2.0, "targetCompletionMs": 1000}
                  for name in self.routes]
        services = [{"name": name, "admissionCheck": False,
                     **({"standby": True} if name == self.spare else {})}
                    for name in self.services]
        self.store.put("keyed.op", "config", json.dumps(
            {"version": self.version, "routes": routes, "services": services,
             "limits": {"maxBodyBytes": 262144}}).encode())
        self.note("config", version=self.version, routes=list(self.routes))

    async def start(self):
        if not BINARY.exists():
            raise FileNotFoundError(BINARY)
        server, store = await web.serve(self.store.handle)
        self.servers.append(server)
        server, machines = await web.serve(self.fleet.handle)
        self.servers.append(server)
        self.write_config()
        for service, count in self.services.items():
            for number in range(count):
                await self.fleet.add("m-%s-%d" % (service, number), service,
                                     ZONES[number % len(ZONES)], "r-%s-%d" % (service, number // 4))
        for entry in self.entries:
            await entry.prepare(store, machines, [each.ip for each in self.entries[:3]])
            entry.start()
        await self._until_ready()

    async def _until_ready(self):
        for _ in range(200):
            statuses = [(await web.request(entry.ip + ":8622", "GET", "/ready", timeout=1.0))[0]
                        for entry in self.entries]
            if statuses == [200] * len(statuses) and await self._owner_answers():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the entry processes did not become ready")

    async def _owner_answers(self):
        status, _ = await web.request(self.entries[0].ip + ":8624", "GET",
                                      "/%s/" % self.routes[0], headers={"Host": HOST})
        return status == 200

    def close(self):
        for entry in self.entries:
            entry.kill()
        for task in list(self.fleet.tasks):
            task.cancel()

    async def call(self, entry, method, queue, job="", body=None, timeout=3.0):
        self.note("send", entry=entry.name, call=method, queue=queue, job=job, body=body)
        status, answer = await web.request(
            entry.ip + ":8624", method, "/%s/%s" % (queue, job), body,
            {"Host": HOST, "Content-Type": "application/json",
             "X-Time-Remaining-Ms": str(int(timeout * 1000))}, timeout)
        self.note("answer", entry=entry.name, call=method, queue=queue, job=job, status=status,
                  body=answer)
        return status, answer

    async def submit(self, queue, job, body, entry=None):
        """Hands a job in until it is accepted, as a client that retries does."""
        for attempt in range(5):
            to = entry or self.entries[attempt % len(self.entries)]
            status, _ = await self.call(to, "POST", queue, job, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def until(self, condition, timeout_s, pause_s=0.01):
        """Whether `condition()` became true in time."""
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() >= end:
                return False
            await asyncio.sleep(pause_s)
        return True


def main(case, scenario):
    """Runs `scenario(trouble)`, which returns a deployment and a coroutine function that returns
    the breaches. Writes record.txt beside `case` and ends with the status of the issue's page."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(case).resolve().parent

    async def play():
        deployment, run = scenario(trouble)
        try:
            await asyncio.wait_for(deployment.start(), START_TIMEOUT_S)
            breaches = await asyncio.wait_for(run(), RUN_TIMEOUT_S)
        finally:
            deployment.close()
            deployment.record.write(folder / "record.txt")
        return breaches
    try:
        breaches = asyncio.run(play())
    except (OSError, RuntimeError, asyncio.TimeoutError, TimeoutError) as error:
        print("could not run: %r" % error)
        sys.exit(NOT_RUN)
    for breach in breaches:
        print(breach)
    print("trouble: %s, the rule %s" % ("yes" if trouble else "no",
                                       "was broken" if breaches else "held"))
    sys.exit(BROKEN if breaches else HELD)
