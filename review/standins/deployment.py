"""A small deployment on loopback: entry processes of the deploy file, a store, minions, clients."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import time
import tomllib

from review.standins.fleet import HEARTBEAT_S, MachineList, Minion
from review.standins.http import call
from review.standins.link import Link
from review.standins.store import MAX_CALL_BYTES, MAX_RECORD_BYTES, Store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "queues.example"

# The bounds of sites/exlibris-hq.toml.
SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "z{zone}"
region = "r"
internalPortRange = [7060, 7075]
seedNodes = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatIntervalMs = 1500
orders = "call"
[listenAddrs]
front = "{ip}:8624"
ready = "{ip}:8622"
control = "{ip}:8623"
[limits]
cpuShare = {share}
cores = 1
memoryMb = 260
maxFds = 4100
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = {max_hold_ms}
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
leaseMs = 3000
migrationS = 1.5
maintenanceS = 2
fencingRequired = false
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbPerS = 20.0
readMbPerS = 80.0
maxRecordBytes = {max_record}
maxCallBytes = {max_call}
keep_s = 300
partitionMb = 200
minTtlMs = 1000
[cloudApi]
address = "{machines}"
ratePerS = 64.0
dutyPerS = 64.0
"""


def deploy_command():
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        return tomllib.load(file)["roles"]["entry"]["run"].split(" ")


class Entry:
    def __init__(self, number, network, folder):
        self.name, self.number = "entry-%d" % number, number
        self.ip = "%s.%d" % (network, number + 1)
        self.front = self.ip + ":8624"
        self.ready = self.ip + ":8622"
        self.settings, self.log = folder / (self.name + ".toml"), folder / (self.name + ".log")
        self.process = None
        self.links = []

    def start(self, **fields):
        self.settings.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.number % 3, max_record=MAX_RECORD_BYTES,
            max_call=MAX_CALL_BYTES, **fields))
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                deploy_command(), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "POPLARSTREAM_CONFIG": str(self.settings)})

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    def __init__(self, folder, entries, minions, capacity, seed, duration, max_hold_ms=10000,
                 queues=("shop",)):
        """`minions` maps names of services to numbers of minions; `duration` is a Minion's."""
        self.folder, self.random, self.begun = folder, random.Random(seed), time.monotonic()
        self.events, self.jobs, self.queues = [], {}, queues
        self.max_hold_ms = max_hold_ms
        self.store = Store()
        self.duration, self.lives, self.tasks = duration, 0, set()
        self.minions = [self._minion("%s-%d" % (service, n), service, "z%d" % (n % 3),
                                     "r%d" % (n // 4), dict(capacity))
                        for service, count in minions.items() for n in range(count)]
        self.machine_list = MachineList(self.minions)
        network = "127.%d.%d" % (20 + os.getpid() // 250 % 200, 1 + os.getpid() % 250)
        self.entries = [Entry(number, network, folder) for number in range(entries)]

    def _minion(self, name, service, zone, rack, capacity):
        self.lives += 1
        return Minion(name, self.lives, service, zone, rack, capacity, self.max_hold_ms,
                      self.record, self.duration)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def restart_minion(self, minion, down_s):
        """Starts the next life of a machine, and removes the entry of the last one in time."""
        await asyncio.sleep(down_s)
        successor = self._minion(minion.machine, minion.service, minion.zone, minion.rack,
                                 minion.capacity)
        await successor.start(self.store)
        self.minions[self.minions.index(minion)] = successor
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - down_s))
        self.store.put("keyed.servers", minion.id, None)

    def owner(self):
        """The entry process that has written the newest record of the ownership."""
        value, _ = self.store.topic("keyed.poplar-owner").newest["owner"]
        name = json.loads(value)["owner"]
        return next(entry for entry in self.entries if entry.name == name)

    def starts(self, task):
        return [event for event in self.events
                if event["kind"] == "start" and event["task"] == task]

    def now(self):
        return time.monotonic() - self.begun

    def record(self, kind, **fields):
        self.events.append({"t": round(self.now(), 3), "kind": kind, **fields})

    async def start(self, version=1, has_links=False):
        """With `has_links`, entry processes reach the store and the machines through links."""
        store = await self.store.start()
        machines = await self.machine_list.start()
        self.configure(version)
        for minion in self.minions:
            await minion.start(self.store)
        seeds = ", ".join('"%s:8623"' % entry.ip for entry in self.entries[:3])
        for entry in self.entries:
            if has_links:
                entry.links = [Link(store), Link(machines)]
                addresses = [await link.start() for link in entry.links]
            else:
                addresses = [store, machines]
            entry.start(seeds=seeds, store=addresses[0], machines=addresses[1], share=0.25,
                        max_hold_ms=self.max_hold_ms)
        while not await self.is_ready():
            if self.now() > 20:
                raise RuntimeError("the entry processes are not ready")
            await asyncio.sleep(0.1)

    def configure(self, version):
        self.store.put("keyed.op", "config", {
            "version": version,
            "routes": [{"name": queue, "host": HOST, "pathPrefix": "/%s/" % queue,
                        "service": queue, "priority": 0, "maxAttempts": 3, "stretch": 1.6,
                        "targetCompletionMs": 600} for queue in self.queues],
            "services": [{"name": queue, "admissionCheck": False} for queue in self.queues],
            "limits": {"maxBodyBytes": 262144}})
        self.record("configuration", version=version)

    async def is_ready(self):
        answers = await asyncio.gather(*(call(entry.ready, "GET", "/ready")
                                         for entry in self.entries))
        return all(status == 200 for status, _ in answers)

    def new_id(self):
        return "%016x" % self.random.getrandbits(64)

    async def ask(self, entry, method, path, body=None, timeout_s=3.0):
        headers = {"Host": HOST, "Content-Type": "application/json",
                   "X-Time-Remaining-Ms": str(int(timeout_s * 1000))}
        content = b"" if body is None else json.dumps(body).encode()
        status, answer = await call(entry.front, method, path, content, headers, timeout_s)
        return status, json.loads(answer) if answer else None

    async def submit(self, job, steps, queue="shop", tries=5):
        """Hands a job in until it is accepted or refused; tries again without an answer."""
        self.jobs[job] = {"steps": steps, "queue": queue, "accepted": None}
        for _ in range(tries):
            entry = self.random.choice(self.entries)
            status, _ = await self.ask(entry, "POST", "/%s/%s" % (queue, job),
                                       {"spec": "work " + job, "steps": steps})
            self.record("submit", job=job, at=entry.name, status=status)
            if status == 200:
                self.jobs[job]["accepted"] = self.now()
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, tries=3):
        """The state of a job; tries further entry processes without one."""
        for entry in self.random.sample(self.entries, len(self.entries))[:tries]:
            status, answer = await self.ask(
                entry, "GET", "/%s/%s" % (self.jobs[job]["queue"], job))
            self.record("state", job=job, at=entry.name, status=status,
                        state=answer.get("state") if answer else None)
            if status in (200, 410):
                return answer.get("state") if status == 200 else "unknown"
        return None

    def stop(self):
        """Ends all processes. The folder KEEP, if set, gets their logs."""
        for task in list(self.tasks):
            task.cancel()
        for entry in self.entries:
            entry.end()
            if os.environ.get("KEEP"):
                shutil.copy(entry.log, os.environ["KEEP"])
            for link in entry.links:
                link.stop()
        for minion in self.minions:
            minion.stop()
        for server in (self.store.server, self.machine_list.server):
            server.stop()

    def write_record(self, path, heading):
        with open(path, "w") as file:
            file.write(heading + "\n")
            for event in self.events:
                file.write(json.dumps(event) + "\n")
