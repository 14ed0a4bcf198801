#!/usr/bin/env python3
"""Runs a deployment of examples/NAME on loopback and reports what callers and workers observed."""

import argparse
import configparser
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

import demo_faults
import demo_report

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("POPLAR_BUILD", ROOT / "build"))
TOKEN = "demo-operator-token"


class Network:
    """Loopback addresses of one demo; demos with different prefixes can run at the same time."""

    def __init__(self, prefix):
        if not re.fullmatch(r"127\.([1-9]\d?|1\d\d|2[0-4]\d|25[0-5])", prefix):
            raise ValueError(f"--network needs 127.1 to 127.255, not {prefix}")
        self.prefix = prefix
        self.platform = f"{prefix}.0.1:9000"
        self.platform_control = f"{prefix}.0.1:9001"
        self.fleet_control = f"{prefix}.0.2:9100"

    def rewrite(self, document):
        """Moves the workers and minions of a document from 127.0 to the prefix of this demo."""
        return re.sub(r"\b127\.0\.(\d+\.\d+:)", rf"{self.prefix}.\1", document)


class EntryHost:
    def __init__(self, network, zone_index, zone, number):
        self.id = f"{zone}-{number}"
        self.zone = zone
        self.ip = f"{network.prefix}.{zone_index + 1}.{number}"
        self.network = network
        self.process = None

    def name(self):
        """Identifies the process; a restart changes it."""
        return f"{self.id}/{self.process.pid}"

    @property
    def callers(self):
        return f"{self.ip}:8080"

    @property
    def operators(self):
        return f"{self.ip}:8081"

    @property
    def peers(self):
        return f"{self.ip}:8082"

    def settings(self, region, others, token_file):
        lines = ["[entry-host]", f"id={self.id}", f"zone={self.zone}", f"region={region}",
                 "[listen]", f"callers={self.callers}", f"operators={self.operators}",
                 f"peers={self.peers}", "[platform]", f"address={self.network.platform}", "[tokens]",
                 f"operators={token_file}", "[peers]"]
        lines += [f"{other.id}={other.zone} {other.peers}" for other in others]
        return "\n".join(lines) + "\n"

    def get(self, path, timeout=3):
        request = urllib.request.Request(f"http://{self.operators}{path}",
                                         headers={"Authorization": f"Bearer {TOKEN}"})
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return json.loads(response.read())


class Deployment:
    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.network = Network(options.network)
        self.text = self.network.rewrite((ROOT / "examples" / options.name / "fleet.ini").read_text())
        self.document_path = folder / "fleet.ini"
        self.document_path.write_text(self.text)
        self.document = configparser.ConfigParser(interpolation=None)
        self.document.read_string(self.text)
        zones = [s.split(" ", 1)[1] for s in self.document.sections() if s.startswith("zone ")]
        self.entries = [EntryHost(self.network, i, zone, number) for i, zone in enumerate(zones)
                        for number in range(1, options.entries_per_zone + 1)]
        self.processes = []
        self.token_file = folder / "operators.token"
        self.token_file.write_text(TOKEN + "\n")
        self.publishing = threading.Lock()
        self.version = 0
        self.sampling = threading.Event()

    def hosts(self):
        return [s.split(" ", 1)[1] for s in self.document.sections() if s.startswith("host ")]

    def spawn(self, name, command):
        log = open(self.folder / f"{name}.log", "a")
        process = subprocess.Popen([str(part) for part in command], stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_standins(self):
        standins = BUILD / "standins"
        self.spawn("platform", [standins / "standin-platform", "--listen", self.network.platform,
                                "--control", self.network.platform_control, "--document", self.document_path,
                                "--history", self.folder / "platform.jsonl"])
        wait_for("platform", lambda: "listening" in self.log("platform"))
        self.spawn("fleet", [standins / "standin-fleet", "--document", self.document_path,
                             "--control", self.network.fleet_control, "--history",
                             self.folder / "fleet.jsonl", "--reboot-seconds", self.options.reboot_seconds,
                             "--platform-control", self.network.platform_control, "--seed",
                             self.options.seed])
        wait_for("fleet", lambda: "listening" in self.log("fleet"))

    def log(self, name):
        return (self.folder / f"{name}.log").read_text()

    def start_entry(self, entry):
        region = self.document[f"zone {entry.zone}"]["region"]
        others = [other for other in self.entries if other is not entry]
        path = self.folder / f"{entry.id}.ini"
        path.write_text(entry.settings(region, others, self.token_file))
        entry.process = self.spawn(entry.id, [BUILD / "poplarstream", "serve", "--settings", path])

    def start_entries(self):
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            wait_for(entry.id, lambda entry=entry: responds(entry))

    def wait_until_ready(self, entry):
        wait_for(f"{entry.id} ready", lambda: entry.get("/status")["ready"])

    def publish_command(self, path, base, entry, author):
        return [BUILD / "poplarstream", "publish", path, "--operators", entry.operators,
                "--token-file", self.token_file, "--base-version", str(base), "--author", author]

    def publish(self, text):
        """Publishes from the version in force.

        When the version has changed or the entry host is gone, reads the version and retries, as an
        operator would.
        """
        with self.publishing:
            end = time.monotonic() + 40
            while True:
                path = self.folder / f"document-{self.version}.ini"
                path.write_text(text)
                result = subprocess.run(
                    self.publish_command(path, self.version, self.live()[0], "demo"),
                    capture_output=True, text=True, check=False)
                if result.returncode == 0:
                    self.version = json.loads(result.stdout)["version"]
                    self.text = text
                    return self.version
                if time.monotonic() > end or self.version == 0:
                    raise RuntimeError(f"publish failed: {result.stdout}{result.stderr}")
                time.sleep(0.5)
                try:
                    self.version = self.live()[0].get("/status")["version"]
                except OSError:
                    pass

    def record_version(self, version):
        with self.publishing:
            self.version = max(self.version, version)

    def live(self):
        return [entry for entry in self.entries if entry.process.poll() is None]

    def wait_for_version(self, version):
        begin = time.monotonic()
        for entry in self.live():
            wait_for(f"version {version} at {entry.id}",
                     lambda entry=entry: entry.get("/status")["version"] >= version, 9)
        return time.monotonic() - begin

    def start_callers(self):
        live = self.entries
        return subprocess.Popen(
            [str(part) for part in
             [BUILD / "standins" / "standin-callers", "--document", self.document_path,
              "--entries", ",".join(e.callers for e in live), "--ready",
              ",".join(e.operators for e in live), "--seconds", self.options.seconds,
              "--poll-seconds", self.options.poll_seconds, "--urgent-rate", self.options.urgent_rate, "--slow-rate",
              self.options.slow_rate, "--run-scale", 0.005, "--history",
              self.folder / "callers.jsonl", "--seed", self.options.seed]],
            stdout=open(self.folder / "callers.json", "w"),
            stderr=open(self.folder / "callers.log", "w"))

    def wave_name(self):
        return next(s.split(" ", 1)[1] for s in self.document.sections() if s.startswith("wave "))

    def change_wave(self, state):
        wave = self.wave_name()
        head, tail = self.text.split(f"[wave {wave}]", 1)
        tail = re.sub(r"state=\w+", f"state={state}", tail, count=1)
        return self.publish(f"{head}[wave {wave}]{tail}")

    def wave_status(self):
        wave = self.wave_name()
        for entry in self.live():
            try:
                status = entry.get("/status/waves")
            except (urllib.error.URLError, OSError):
                continue
            return next(w for w in status["waves"] if w["wave"] == wave)
        raise RuntimeError("no entry host responds")

    def wave_driver(self):
        for entry in self.live():
            try:
                holder = entry.get("/status")["wave_holder"]
            except OSError:
                continue
            return next((e for e in self.live() if e.id == holder), self.live()[-1])
        raise RuntimeError("no entry host responds")

    def sample_status(self):
        """Records the status of every entry host several times per second."""
        with open(self.folder / "status.jsonl", "a") as file:
            while not self.sampling.wait(0.25):
                for entry in self.entries:
                    name, now = entry.name(), time.time() * 1000
                    try:
                        status = entry.get("/status", timeout=0.5)
                    except (OSError, ValueError):
                        continue
                    line = {"time_ms": now, "process": name, "version": status["version"],
                            "offset": status["offset"], "holder": status["wave_holder"],
                            "away": status["hosts_away"], "ready": status["ready"]}
                    file.write(json.dumps(line) + "\n")
                file.flush()

    def stop(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.terminate()
        for process in self.processes:
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()


def responds(entry):
    try:
        entry.get("/status")
        return True
    except (urllib.error.URLError, OSError):
        return False


def wait_for(description, condition, seconds=20.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (urllib.error.URLError, OSError):
            pass
        time.sleep(0.05)
    raise RuntimeError(f"timed out after {seconds} s waiting for {description}")


def requested_faults(options):
    faults = [demo_faults.parse(text) for text in options.fault]
    faults += [demo_faults.parse("kill=" + text) for text in options.kill]
    if not faults and not options.no_faults:
        faults = [demo_faults.parse("kill=driver@12")]
    return faults


def run(deployment):
    options = deployment.options
    injector = demo_faults.Injector(deployment, requested_faults(options))
    deployment.start_standins()
    deployment.start_entries()
    version = deployment.publish(deployment.text)
    in_force_s = deployment.wait_for_version(version)
    sampler = threading.Thread(target=deployment.sample_status, daemon=True)
    sampler.start()
    callers = deployment.start_callers()
    begin = time.monotonic()
    injector.start()
    time.sleep(options.wave_after)
    wave_begin = time.monotonic()
    deployment.change_wave("running")
    roll_out_s = None
    wave = None
    while time.monotonic() - begin < options.limit:
        try:
            wave = deployment.wave_status()
        except RuntimeError:
            wave = wave or {"done": 0, "hosts": 0}
        if roll_out_s is None and wave["done"] >= wave["hosts"] > 0:
            roll_out_s = time.monotonic() - wave_begin
        if roll_out_s is not None and callers.poll() is not None and injector.is_done():
            break
        time.sleep(0.25)
    injector.finish()
    if callers.poll() is None:
        callers.terminate()
        callers.wait()
    deployment.sampling.set()
    sampler.join()
    return {"end_ms": time.time() * 1000, "in_force_seconds": in_force_s,
            "roll_out_seconds": roll_out_s, "faults": injector.notes,
            "hosts_fail": any(f.kind.startswith("host-") for f in injector.faults), "errors": injector.errors, "wave": wave,
            "seconds": time.monotonic() - begin}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", nargs="?", default="van-harselaar",
                        choices=["van-harselaar", "ex-libris"])
    parser.add_argument("--seconds", type=int, default=45, help="how long callers send")
    parser.add_argument("--poll-seconds", type=int, default=60,
                        help="how long callers wait for their runs after that")
    parser.add_argument("--urgent-rate", type=float, default=40)
    parser.add_argument("--slow-rate", type=float, default=1.5)
    parser.add_argument("--entries-per-zone", type=int, default=2)
    parser.add_argument("--wave-after", type=float, default=4)
    parser.add_argument("--network", default="127.1", help="prefix of all addresses, as 127.4")
    parser.add_argument("--kill", action="append", default=[], metavar="ID@SECONDS",
                        help="kills an entry host, or \"driver\"; short for --fault kill=ID@SECONDS")
    parser.add_argument("--fault", action="append", default=[], help=demo_faults.HELP)
    parser.add_argument("--no-faults", action="store_true",
                        help="without the default, --kill driver@12")
    parser.add_argument("--reboot-seconds", type=float, default=3)
    parser.add_argument("--limit", type=float, default=110, help="seconds of load at the most")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="folder for logs and histories, kept")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="poplar-demo-") as temporary:
        folder = pathlib.Path(options.keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        deployment = Deployment(options, folder)
        try:
            facts = run(deployment)
        finally:
            deployment.stop()
        return demo_report.print_report(deployment.document, folder, facts, BUILD)


if __name__ == "__main__":
    sys.exit(main())
