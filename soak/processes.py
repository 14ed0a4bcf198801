"""The entry processes of a soak: their settings, their links to the platform, their signals."""

import asyncio
import os
import pathlib
import signal
import subprocess
import time

from soak.proxy import Proxy

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
[cloudApi]
address = "{machines}"
"""


class Entry:
    def __init__(self, number, network, folder, binary):
        self.name = "entry-%d" % number
        self.host = "%s.%d" % (network, number + 1)
        self.zone = "z%d" % (number % 3)
        self.folder, self.binary = folder, binary
        self.process = None
        self.store_link = self.machine_link = None
        self.is_exit_expected = False
        self.back_at = 0.0  # the process stays down until then
        self.unwanted_exits = []

    def front(self):
        return "http://%s:8624" % self.host

    async def prepare(self, store, machines, seeds):
        self.store_link, self.machine_link = Proxy(store), Proxy(machines)
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
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def take_down(self, number, for_s):
        """Sends a signal that ends the process; it is back no sooner than after `for_s`."""
        self.is_exit_expected = True
        self.back_at = max(self.back_at, time.monotonic() + for_s)
        self.signal(number)
        self.signal(signal.SIGCONT)

    async def watch(self):
        """Starts a process that has ended again, and keeps what it ended with by itself."""
        while True:
            await asyncio.sleep(0.05)
            if self.process.poll() is None:
                continue
            if not self.is_exit_expected:
                self.unwanted_exits.append((self.name, self.process.returncode))
                self.is_exit_expected = True
            if time.monotonic() >= self.back_at:
                self.start()

    def end(self):
        """Ends the process that this soak started, by its id."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def loopback_network():
    """A part of 127/8 of this process's own, so that soaks beside each other do not meet."""
    identity = os.getpid()
    return "127.%d.%d" % (100 + identity // 250 % 100, 1 + identity % 250)


def default_binary():
    root = pathlib.Path(__file__).resolve().parent.parent
    return pathlib.Path(os.environ.get("POPLAR_BUILD", root / "build")) / "poplarstream"
