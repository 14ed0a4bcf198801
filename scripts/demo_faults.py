"""Faults that a demo injects at given times, each with a limited duration."""

import collections
import json
import os
import signal
import subprocess
import threading
import time
import urllib.error
import urllib.request

Fault = collections.namedtuple("Fault", "kind target start seconds")

# Default durations. A pause outlasts the wave driver's lease of 8 s and the leases of run owners.
DURATIONS_S = {
    "kill": 0, "term": 0, "pause": 18, "platform-away": 8, "platform-silent": 8,
    "platform-errors": 8, "platform-slow": 15, "lose-answers": 15, "host-dead": 20,
    "host-fails": 15, "minion-silent": 15, "connections-silent": 15, "race": 0, "wave-stop": 8,
    "replace-all": 0,
}

HELP = """KIND[=TARGET]@START[+SECONDS], repeatable. KIND is one of %s. TARGET of kill, term and pause
is an entry host, its number or "driver" (the default, the entry host that drives the wave); of host-dead and
host-fails a host; of minion-silent and connections-silent a host whose minions are affected; of
platform-slow milliseconds; of lose-answers a probability.""" % ", ".join(DURATIONS_S)


def parse(text):
    kind_and_target, _, schedule = text.partition("@")
    kind, _, target = kind_and_target.partition("=")
    start, _, seconds = schedule.partition("+")
    if kind not in DURATIONS_S:
        raise ValueError(f"unknown fault {kind}")
    return Fault(kind, target or None, float(start), float(seconds or DURATIONS_S[kind]))


def post(address, fields):
    request = urllib.request.Request(f"http://{address}/control", method="POST",
                                     data=json.dumps(fields).encode())
    with urllib.request.urlopen(request, timeout=5) as response:
        return json.loads(response.read())


class Injector:
    """Injects each fault of a deployment in its own thread and records it."""

    def __init__(self, deployment, faults):
        self.deployment = deployment
        self.faults = faults
        self.lock = threading.Lock()
        self.file = open(deployment.folder / "faults.jsonl", "a")
        self.notes = []
        self.errors = []
        self.threads = []
        self.is_stopping = threading.Event()

    def start(self):
        begin = time.monotonic()
        for fault in self.faults:
            thread = threading.Thread(target=self.run, args=(fault, begin), daemon=True)
            self.threads.append(thread)
            thread.start()

    def finish(self):
        self.is_stopping.set()
        for thread in self.threads:
            thread.join(timeout=60)

    def is_done(self):
        return not any(thread.is_alive() for thread in self.threads)

    def run(self, fault, begin):
        self.is_stopping.wait(max(0.0, begin + fault.start - time.monotonic()))
        if self.is_stopping.is_set():
            self.errors.append(f"{fault.kind} was scheduled after the end of the demo")
            return
        try:
            getattr(self, fault.kind.replace("-", "_"))(fault)
        except (RuntimeError, OSError, ValueError) as error:
            self.errors.append(f"{fault.kind}: {error}")

    def record(self, kind, until=None, **fields):
        line = {"kind": kind, "time_ms": time.time() * 1000, **fields}
        if until is not None:
            line["until_ms"] = line["time_ms"] + until * 1000
        with self.lock:
            self.file.write(json.dumps(line) + "\n")
            self.file.flush()

    def add_note(self, text):
        self.notes.append(text)

    def target_entry(self, fault):
        deployment = self.deployment
        if fault.target in (None, "driver"):
            return deployment.wave_driver()
        for number, entry in enumerate(deployment.entries, 1):
            if fault.target in (entry.id, str(number)):
                return entry
        raise ValueError(f"no entry host {fault.target}")

    def kill(self, fault):
        entry = self.target_entry(fault)
        self.record("kill", entry=entry.callers, id=entry.id)
        entry.process.send_signal(signal.SIGKILL)
        entry.process.wait()
        self.add_note(f"killed {entry.id} at {fault.start:g} s")

    def stop_gracefully(self, entry):
        self.record("planned-stop", entry=entry.callers, id=entry.id)
        begin = time.monotonic()
        entry.process.send_signal(signal.SIGTERM)
        status = entry.process.wait(timeout=40)
        self.add_note(f"stopped {entry.id} in {time.monotonic() - begin:.1f} s, status {status}")

    def term(self, fault):
        self.stop_gracefully(self.target_entry(fault))

    def pause(self, fault):
        entry = self.target_entry(fault)
        self.record("pause", until=fault.seconds, entry=entry.callers, process=entry.name())
        entry.process.send_signal(signal.SIGSTOP)
        try:
            self.is_stopping.wait(fault.seconds)
        finally:
            entry.process.send_signal(signal.SIGCONT)
        self.add_note(f"paused {entry.id} for {fault.seconds:g} s")

    def apply_for_duration(self, fault, address, begin, end):
        post(address, begin)
        self.is_stopping.wait(fault.seconds)
        post(address, end)
        self.add_note(f"{fault.kind} {fault.target or ''} for {fault.seconds:g} s")

    def inject_platform_fault(self, fault, begin, end):
        self.record("log-away", until=fault.seconds)
        self.apply_for_duration(fault, self.deployment.network.platform_control, begin, end)

    def platform_away(self, fault):
        self.inject_platform_fault(fault, {"away": "refuse"}, {"away": "no"})

    def platform_silent(self, fault):
        self.inject_platform_fault(fault, {"away": "silent"}, {"away": "no"})

    def platform_errors(self, fault):
        self.inject_platform_fault(fault, {"away": "error"}, {"away": "no"})

    def platform_slow(self, fault):
        self.inject_platform_fault(fault, {"slow_ms": int(fault.target or 1500)}, {"slow_ms": 0})

    def lose_answers(self, fault):
        self.apply_for_duration(fault, self.deployment.network.platform_control,
                                {"lose_answers": float(fault.target or 0.5),
                                 "seed": self.deployment.options.seed}, {"lose_answers": 0.0})

    def inject_fleet_fault(self, fault, targets, kind):
        begin = [{**target, "fault": kind} for target in targets]
        end = [{**target, "fault": "none"} for target in targets]
        self.apply_for_duration(fault, self.deployment.network.fleet_control, {"faults": begin},
                                {"faults": end})

    def target_host(self, fault):
        hosts = self.deployment.hosts()
        return fault.target or hosts[self.deployment.options.seed * 7 % len(hosts)]

    def target_minions(self, fault):
        section = self.deployment.document[f"host {self.target_host(fault)}"]
        return [{"minion": m.strip()} for m in section.get("minions", "").split(",") if m.strip()]

    def host_dead(self, fault):
        self.inject_fleet_fault(fault, [{"host": self.target_host(fault)}], "dead")

    def host_fails(self, fault):
        self.inject_fleet_fault(fault, [{"host": self.target_host(fault)}], "fails-all")

    def minion_silent(self, fault):
        self.inject_fleet_fault(fault, self.target_minions(fault), "silent")

    def connections_silent(self, fault):
        self.inject_fleet_fault(fault, self.target_minions(fault), "silent-connections")

    def race(self, fault):
        """Publishes twice from the same version at two entry hosts; exactly one must succeed."""
        deployment = self.deployment
        version = deployment.live()[0].get("/status")["version"]
        commands = []
        for number, entry in enumerate((deployment.live()[0], deployment.live()[-1])):
            path = deployment.folder / f"race-{number}.ini"
            path.write_text(deployment.text.replace("weight_moves=", f"weight_moves=1{number}", 1))
            commands.append(deployment.publish_command(path, version, entry, f"racer-{number}"))
        running = [subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
                   for command in commands]
        for process in running:
            process.communicate(timeout=30)
        accepted = sum(1 for process in running if process.returncode == 0)
        deployment.record_version(version + accepted)
        self.add_note(f"race from version {version}: {accepted} of 2 won")
        if accepted != 1:
            self.errors.append(f"{accepted} of 2 racing changes were accepted")

    def wave_stop(self, fault):
        deployment = self.deployment
        deployment.change_wave("stopped")
        self.is_stopping.wait(3)  # grants from before the stop complete
        before = deployment.wave_status()["done"]
        self.is_stopping.wait(fault.seconds)
        after = deployment.wave_status()["done"]
        deployment.change_wave("running")
        self.add_note(f"wave stopped for {fault.seconds:g} s, {before} then {after} hosts done")

    def replace_all(self, _):
        """Restarts all entry hosts one after another, which may take at most 60 s."""
        deployment = self.deployment
        begin = time.monotonic()
        for entry in deployment.entries:
            if entry.process.poll() is None:
                self.stop_gracefully(entry)
            deployment.start_entry(entry)
            deployment.wait_until_ready(entry)
        elapsed_s = time.monotonic() - begin
        self.add_note(f"replaced all entry hosts in {elapsed_s:.1f} s")
        if elapsed_s > 60:
            self.errors.append(f"replacing all entry hosts took {elapsed_s:.0f} s")
