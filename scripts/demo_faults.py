"""Faults that a demo injects at given moments, each one bounded in time."""

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

# Seconds that a fault lasts unless the option says otherwise. A pause is longer than the lease of
# the wave driver, which is 8 s, and than those of the owners of runs.
DURATIONS = {
    "kill": 0, "term": 0, "pause": 18, "platform-away": 8, "platform-silent": 8,
    "platform-errors": 8, "platform-slow": 15, "lose-answers": 15, "host-dead": 20,
    "host-fails": 15, "minion-silent": 15, "connections-silent": 15, "race": 0, "wave-stop": 8,
    "replace-all": 0,
}

HELP = """KIND[=TARGET]@START[+SECONDS], repeatable. KIND is one of %s. TARGET of kill, term and pause
is an entry host, its number or "driver" (the default, the entry host that drives the wave); of host-dead and
host-fails a host; of minion-silent and connections-silent a host whose minions are meant; of
platform-slow milliseconds; of lose-answers a probability.""" % ", ".join(DURATIONS)


def parse(text):
    what, _, when = text.partition("@")
    kind, _, target = what.partition("=")
    start, _, seconds = when.partition("+")
    if kind not in DURATIONS:
        raise ValueError(f"unknown fault {kind}")
    return Fault(kind, target or None, float(start), float(seconds or DURATIONS[kind]))


def post(address, fields):
    request = urllib.request.Request(f"http://{address}/control", method="POST",
                                     data=json.dumps(fields).encode())
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.loads(answer.read())


class Injector:
    """Runs the faults of a deployment, each in its own thread, and records them."""

    def __init__(self, deployment, faults):
        self.deployment = deployment
        self.faults = faults
        self.lock = threading.Lock()
        self.file = open(deployment.folder / "faults.jsonl", "a")
        self.notes = []
        self.errors = []
        self.threads = []
        self.isStopping = threading.Event()

    def start(self):
        begin = time.monotonic()
        for fault in self.faults:
            thread = threading.Thread(target=self.run, args=(fault, begin), daemon=True)
            self.threads.append(thread)
            thread.start()

    def finish(self):
        self.isStopping.set()
        for thread in self.threads:
            thread.join(timeout=60)

    def is_done(self):
        return not any(thread.is_alive() for thread in self.threads)

    def run(self, fault, begin):
        self.isStopping.wait(max(0.0, begin + fault.start - time.monotonic()))
        if self.isStopping.is_set():
            self.errors.append(f"{fault.kind} was due after the end")
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

    def note(self, text):
        self.notes.append(text)

    def entry(self, fault):
        deployment = self.deployment
        if fault.target in (None, "driver"):
            return deployment.wave_driver()
        for number, entry in enumerate(deployment.entries, 1):
            if fault.target in (entry.id, str(number)):
                return entry
        raise ValueError(f"no entry host {fault.target}")

    def kill(self, fault):
        victim = self.entry(fault)
        self.record("kill", entry=victim.callers, id=victim.id)
        victim.process.send_signal(signal.SIGKILL)
        victim.process.wait()
        self.note(f"killed {victim.id} at {fault.start:g} s")

    def planned_stop(self, victim):
        self.record("planned-stop", entry=victim.callers, id=victim.id)
        begin = time.monotonic()
        victim.process.send_signal(signal.SIGTERM)
        status = victim.process.wait(timeout=40)
        self.note(f"stopped {victim.id} in {time.monotonic() - begin:.1f} s, status {status}")

    def term(self, fault):
        self.planned_stop(self.entry(fault))

    def pause(self, fault):
        victim = self.entry(fault)
        self.record("pause", until=fault.seconds, entry=victim.callers, process=victim.name())
        victim.process.send_signal(signal.SIGSTOP)
        try:
            self.isStopping.wait(fault.seconds)
        finally:
            victim.process.send_signal(signal.SIGCONT)
        self.note(f"paused {victim.id} for {fault.seconds:g} s")

    def for_a_while(self, fault, address, begin, end):
        post(address, begin)
        self.isStopping.wait(fault.seconds)
        post(address, end)
        self.note(f"{fault.kind} {fault.target or ''} for {fault.seconds:g} s")

    def platform(self, fault, begin, end):
        self.record("log-away", until=fault.seconds)
        self.for_a_while(fault, self.deployment.network.platform_control, begin, end)

    def platform_away(self, fault):
        self.platform(fault, {"away": "refuse"}, {"away": "no"})

    def platform_silent(self, fault):
        self.platform(fault, {"away": "silent"}, {"away": "no"})

    def platform_errors(self, fault):
        self.platform(fault, {"away": "error"}, {"away": "no"})

    def platform_slow(self, fault):
        self.platform(fault, {"slow_ms": int(fault.target or 1500)}, {"slow_ms": 0})

    def lose_answers(self, fault):
        self.for_a_while(fault, self.deployment.network.platform_control,
                         {"lose_answers": float(fault.target or 0.5),
                          "seed": self.deployment.options.seed}, {"lose_answers": 0.0})

    def fleet(self, fault, targets, kind):
        begin = [{**target, "fault": kind} for target in targets]
        end = [{**target, "fault": "none"} for target in targets]
        self.for_a_while(fault, self.deployment.network.fleet_control, {"faults": begin},
                         {"faults": end})

    def host_of(self, fault):
        hosts = self.deployment.hosts()
        return fault.target or hosts[self.deployment.options.seed * 7 % len(hosts)]

    def minions_of(self, fault):
        section = self.deployment.document[f"host {self.host_of(fault)}"]
        return [{"minion": m.strip()} for m in section.get("minions", "").split(",") if m.strip()]

    def host_dead(self, fault):
        self.fleet(fault, [{"host": self.host_of(fault)}], "dead")

    def host_fails(self, fault):
        self.fleet(fault, [{"host": self.host_of(fault)}], "fails-all")

    def minion_silent(self, fault):
        self.fleet(fault, self.minions_of(fault), "silent")

    def connections_silent(self, fault):
        self.fleet(fault, self.minions_of(fault), "silent-connections")

    def race(self, fault):
        """Two operators publish from the same version at two entry hosts: one of them must win."""
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
        won = sum(1 for process in running if process.returncode == 0)
        deployment.note_version(version + won)
        self.note(f"race from version {version}: {won} of 2 won")
        if won != 1:
            self.errors.append(f"{won} of 2 racing changes were accepted")

    def wave_stop(self, fault):
        deployment = self.deployment
        deployment.change_wave("stopped")
        self.isStopping.wait(3)  # the grants before the stop finish
        before = deployment.wave_status()["done"]
        self.isStopping.wait(fault.seconds)
        after = deployment.wave_status()["done"]
        deployment.change_wave("running")
        self.note(f"wave stopped for {fault.seconds:g} s, {before} then {after} hosts done")

    def replace_all(self, _):
        """Replaces all entry hosts, one after another, within a minute."""
        deployment = self.deployment
        begin = time.monotonic()
        for entry in deployment.entries:
            if entry.process.poll() is None:
                self.planned_stop(entry)
            deployment.start_entry(entry)
            deployment.wait_until_ready(entry)
        took = time.monotonic() - begin
        self.note(f"replaced all entry hosts in {took:.1f} s")
        if took > 60:
            self.errors.append(f"replacing all entry hosts took {took:.0f} s")
