#!/usr/bin/env python3
"""Runs a deployment of examples/NAME on loopback and reports what callers and workers saw."""

import argparse
import configparser
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import demo_report

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("POPLAR_BUILD", ROOT / "build"))
PLATFORM = "127.1.0.1:9000"
PLATFORM_CONTROL = "127.1.0.1:9001"
FLEET_CONTROL = "127.1.0.2:9100"
TOKEN = "demo-operator-token"
REBOOT_SECONDS = 3


class EntryHost:
    def __init__(self, zone_index, zone, number):
        self.id = f"{zone}-{number}"
        self.zone = zone
        self.ip = f"127.1.{zone_index + 1}.{number}"
        self.process = None

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
                 f"peers={self.peers}", "[platform]", f"address={PLATFORM}", "[tokens]",
                 f"operators={token_file}", "[peers]"]
        lines += [f"{other.id}={other.zone} {other.peers}" for other in others]
        return "\n".join(lines) + "\n"

    def get(self, path, timeout=3):
        request = urllib.request.Request(f"http://{self.operators}{path}",
                                         headers={"Authorization": f"Bearer {TOKEN}"})
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return json.loads(answer.read())


class Deployment:
    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.document_path = ROOT / "examples" / options.name / "fleet.ini"
        self.document = configparser.ConfigParser(interpolation=None)
        self.document.read(self.document_path)
        zones = [s.split(" ", 1)[1] for s in self.document.sections() if s.startswith("zone ")]
        self.entries = [EntryHost(i, zone, number) for i, zone in enumerate(zones)
                        for number in range(1, options.entries_per_zone + 1)]
        self.processes = []
        self.token_file = folder / "operators.token"
        self.token_file.write_text(TOKEN + "\n")
        self.notes = []

    def spawn(self, name, command):
        log = open(self.folder / f"{name}.log", "a")
        process = subprocess.Popen([str(part) for part in command], stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_standins(self):
        standins = BUILD / "standins"
        self.spawn("platform", [standins / "standin-platform", "--listen", PLATFORM, "--control",
                                PLATFORM_CONTROL, "--document", self.document_path,
                                "--history", self.folder / "platform.jsonl"])
        wait_for("platform", lambda: "listening" in self.log("platform"))
        self.spawn("fleet", [standins / "standin-fleet", "--document", self.document_path,
                             "--control", FLEET_CONTROL, "--history",
                             self.folder / "fleet.jsonl", "--reboot-seconds", REBOOT_SECONDS,
                             "--platform-control", PLATFORM_CONTROL, "--seed",
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
            wait_for(entry.id, lambda entry=entry: answers(entry))

    def publish(self, text, base):
        path = self.folder / f"document-{base}.ini"
        path.write_text(text)
        result = subprocess.run(
            [BUILD / "poplarstream", "publish", path, "--operators", self.live()[0].operators,
             "--token-file", self.token_file, "--base-version", str(base), "--author", "demo"],
            capture_output=True, text=True, check=False)
        if result.returncode != 0:
            raise RuntimeError(f"publish failed: {result.stdout}{result.stderr}")
        return json.loads(result.stdout)["version"]

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
              "--poll-seconds", 60, "--urgent-rate", self.options.urgent_rate, "--slow-rate",
              self.options.slow_rate, "--run-scale", 0.005, "--history",
              self.folder / "callers.jsonl", "--seed", self.options.seed]],
            stdout=open(self.folder / "callers.json", "w"),
            stderr=open(self.folder / "callers.log", "w"))

    def wave_name(self):
        return next(s.split(" ", 1)[1] for s in self.document.sections() if s.startswith("wave "))

    def start_wave(self, base):
        wave = self.wave_name()
        text = self.document_path.read_text()
        head, tail = text.split(f"[wave {wave}]", 1)
        tail = tail.replace("state=stopped", "state=running", 1)
        version = self.publish(f"{head}[wave {wave}]{tail}", base)
        return version

    def wave_status(self):
        wave = self.wave_name()
        for entry in self.live():
            try:
                status = entry.get("/status/waves")
            except (urllib.error.URLError, OSError):
                continue
            return next(w for w in status["waves"] if w["wave"] == wave)
        raise RuntimeError("no entry host answers")

    def kill_one(self):
        """Kills the entry host that drives the wave, which is the hardest one to lose."""
        holder = self.live()[0].get("/status")["wave_holder"]
        victim = next((e for e in self.live() if e.id == holder), self.live()[-1])
        victim.process.send_signal(signal.SIGKILL)
        victim.process.wait()
        return victim

    def stop(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.terminate()
        for process in self.processes:
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()


def answers(entry):
    try:
        entry.get("/status")
        return True
    except (urllib.error.URLError, OSError):
        return False


def wait_for(what, condition, seconds=20.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (urllib.error.URLError, OSError):
            pass
        time.sleep(0.05)
    raise RuntimeError(f"{what}: not in {seconds} s")


def run(deployment):
    options = deployment.options
    deployment.start_standins()
    deployment.start_entries()
    version = deployment.publish(deployment.document_path.read_text(), 0)
    in_force = deployment.wait_for_version(version)
    callers = deployment.start_callers()
    begin = time.monotonic()
    time.sleep(options.wave_after)
    wave_begin = time.monotonic()
    version = deployment.start_wave(version)
    in_force = max(in_force, deployment.wait_for_version(version))
    victim = None
    roll_out = None
    while time.monotonic() - begin < options.limit:
        if victim is None and time.monotonic() - begin >= options.kill_after:
            victim = deployment.kill_one()
        status = deployment.wave_status()
        if roll_out is None and status["done"] >= status["hosts"] > 0:
            roll_out = time.monotonic() - wave_begin
        if roll_out is not None and callers.poll() is not None:
            break
        time.sleep(0.25)
    if callers.poll() is None:
        callers.terminate()
        callers.wait()
    return {"end_ms": time.time() * 1000, "in_force_seconds": in_force, "roll_out_seconds": roll_out,
            "killed": victim.id if victim else None, "wave": deployment.wave_status()}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", nargs="?", default="van-harselaar",
                        choices=["van-harselaar", "ex-libris"])
    parser.add_argument("--seconds", type=int, default=45, help="how long callers send")
    parser.add_argument("--urgent-rate", type=float, default=40)
    parser.add_argument("--slow-rate", type=float, default=1.5)
    parser.add_argument("--entries-per-zone", type=int, default=2)
    parser.add_argument("--wave-after", type=float, default=4)
    parser.add_argument("--kill-after", type=float, default=12, help="seconds of load")
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
        return demo_report.print_report(deployment.document, folder, facts)


if __name__ == "__main__":
    sys.exit(main())
