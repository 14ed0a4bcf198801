"""Entry processes of a soak: settings, proxied links to the platform, signals and restarts."""

import asyncio
import math
import os
import pathlib
import signal
import subprocess
import time

from soak.proxy import Proxy
from soak.zone_cuts import PLATFORM, find_process

SETTINGS = """nodeName = "{name}"
role = "entry"
zone = "{zone}"
region = "r"
seedNodes = [{seeds}]
[listenAddrs]
front = "{host}:8624"
ready = "{host}:8622"
control = "{host}:8623"
[limits]
cpuShare = 1.0
[bounds]
graceS = 3
maxHoldMs = 6000
stopTimeoutMs = 200
status_s = 120
leaseMs = 3000
migrationS = 0.6
maintenanceS = 0.6
[platform]
address = "{store}"
parts = 12
[cloudApi]
address = "{machines}"
"""


class EntryProcess:
    def __init__(self, number, network, folder, binary):
        self.name = "entry-%d" % number
        self.host = "%s.%d" % (network, number + 1)
        self.zone = "z%d" % (number % 3)
        self.folder, self.binary = folder, binary
        self.process = None
        self.store_link = self.machine_link = None
        self.is_exit_expected = False
        self.restart_not_before = 0.0  # monotonic time; the process is not restarted earlier
        self.unexpected_exits = []

    def front(self):
        return "http://%s:8624" % self.host

    async def prepare(self, store, machines, seeds, zone_cuts):
        def route(_):
            return lambda: zone_cuts.mode(self.zone, PLATFORM)
        self.store_link, self.machine_link = Proxy(store, route), Proxy(machines, route)
        self.settings = self.folder / (self.name + ".toml")
        self.settings.write_text(SETTINGS.format(
            name=self.name, zone=self.zone, host=self.host,
            seeds=", ".join('"%s:8623"' % seed for seed in seeds),
            store=await self.store_link.start(), machines=await self.machine_link.start()))

    def start(self):
        self.is_exit_expected = False
        log = open(self.folder / (self.name + ".log"), "ab")
        environment = {"PATH": os.environ["PATH"], "POPLARSTREAM_CONFIG": str(self.settings)}
        self.process = subprocess.Popen([str(self.binary), "entry"], env=environment,
                                        stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def stop_for(self, number, duration_s):
        """Stops the process with a signal and prevents its restart for at least `duration_s`."""
        self.is_exit_expected = True
        self.restart_not_before = max(self.restart_not_before, time.monotonic() + duration_s)
        self.signal(number)
        self.signal(signal.SIGCONT)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def supervise(self):
        """Restarts the process whenever it exits, and records the status of unexpected exits."""
        while True:
            await asyncio.sleep(0.05)
            if self.is_running():
                continue
            if not self.is_exit_expected:
                self.unexpected_exits.append((self.name, self.process.returncode))
                self.is_exit_expected = True
            if time.monotonic() >= self.restart_not_before:
                self.start()

    def kill(self):
        """Kills the process that was started here, if it still runs, and waits for it."""
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def start_together(entries):
    """Kills all processes and starts them again within milliseconds of one another."""
    for entry in entries:
        entry.stop_for(signal.SIGKILL, math.inf)
    while any(entry.is_running() for entry in entries):
        await asyncio.sleep(0.01)
    for entry in entries:
        entry.start()
        entry.restart_not_before = 0.0


def zone_of_client(entries, port):
    """Returns the zone of the process that connects from the local port, or None."""
    pids = {entry.process.pid: entry for entry in entries if entry.is_running()}
    found = find_process(port, pids)
    return None if found is None else pids[found].zone


def loopback_network():
    """Returns a prefix in 127/8, derived from the process id to keep parallel soaks apart."""
    pid = os.getpid()
    return "127.%d.%d" % (100 + pid // 250 % 100, 1 + pid % 250)


def default_binary():
    root = pathlib.Path(__file__).resolve().parent.parent
    return pathlib.Path(os.environ.get("POPLAR_BUILD", root / "build")) / "poplarstream"
