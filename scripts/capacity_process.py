#!/usr/bin/env python3
"""Measures memory, CPU time and traffic of one entry host of the design size on loopback.

Prints one JSON object per line. Needs build/poplarstream, build/standins and
build/bench/poplar-capacity, which writes the document. Reads socket counters from `ss`.
"""

import argparse
import configparser
import json
import os
import pathlib
import re
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("POPLAR_BUILD", ROOT / "build"))
PLATFORM = "127.3.0.1:9000"
PLATFORM_CONTROL = "127.3.0.1:9001"
FLEET_CONTROL = "127.3.0.2:9100"
ENTRY = "127.3.1.1"
OPERATORS = f"{ENTRY}:8081"
TOKEN = "capacity-operator-token"
CHANGES_PER_DAY = 3400
SECTION_KINDS = ["fleet", "zone", "rack", "service", "pool", "tenant", "host", "wave"]


def request(path, body=None, address=OPERATORS, timeout=20):
    data = None if body is None else json.dumps(body).encode()
    call = urllib.request.Request(f"http://{address}{path}", data=data,
                                  headers={"Authorization": f"Bearer {TOKEN}",
                                           "Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(call, timeout=timeout) as response:
            return json.loads(response.read())
    except urllib.error.HTTPError as error:
        return json.loads(error.read() or b"{}")


def wait_for(description, condition, seconds=60):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.2)
    raise SystemExit(f"timed out after {seconds} s waiting for {description}")


def design_document(hosts):
    """Returns the design document with all addresses in 127.3.0.0/16 and its wave stopped."""
    text = subprocess.run([BUILD / "bench" / "poplar-capacity", "--document", str(hosts)],
                          capture_output=True, text=True, check=True).stdout
    text = re.sub(r"127\.\d+\.(\d+)\.(\d+)", lambda m: f"127.3.{20 + int(m[1])}.{m[2]}", text)
    return text.replace("state=running", "state=stopped")


def section_edits(document, section, change=None):
    values = dict(document[section], **(change or {}))
    return [{"section": section, "key": key, "value": value} for key, value in values.items()]


def publication_stages(document):
    """Yields the first publication as changes below the record limit, budgets last."""
    kinds = {kind: [s for s in document.sections() if s.split(" ")[0] == kind]
             for kind in SECTION_KINDS}
    first = []
    for kind in SECTION_KINDS[:5]:
        for section in kinds[kind]:
            first += section_edits(document, section, {"max_away": "0"} if kind == "pool" else None)
    yield first
    tenants = kinds["tenant"]
    for begin in range(0, len(tenants), 100):
        yield [edit for name in tenants[begin:begin + 100]
               for edit in section_edits(document, name)]
    hosts = kinds["host"]
    for begin in range(0, len(hosts), 60):
        yield [edit for host in hosts[begin:begin + 60] for edit in section_edits(document, host)]
    last = [{"section": pool, "key": "max_away", "value": document[pool]["max_away"]}
            for pool in kinds["pool"]]
    yield last + [edit for wave in kinds["wave"] for edit in section_edits(document, wave)]


class Publisher:
    def __init__(self):
        self.version = request("/status").get("version", 0)

    def publish(self, edits):
        response = request("/publish", {"base_version": self.version, "edits": edits})
        if response.get("version", -1) != self.version + 1:
            raise SystemExit(f"publication rejected: {json.dumps(response)[:400]}")
        self.version = response["version"]


class ProcessStats:
    def __init__(self, pid):
        self.pid = pid
        self.ticks = os.sysconf("SC_CLK_TCK")

    def seconds(self):
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / self.ticks

    def thread_seconds(self):
        found = {}
        for task in pathlib.Path(f"/proc/{self.pid}/task").iterdir():
            fields = (task / "stat").read_text().rsplit(")", 1)[1].split()
            name = (task / "comm").read_text().strip()
            found[f"{name}/{task.name}"] = (int(fields[11]) + int(fields[12])) / self.ticks
        return found

    def memory(self, key):
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        return int(re.search(rf"{key}:\s+(\d+) kB", status)[1]) / 1024

    def sockets(self):
        """Returns the bytes sent and received per connection, keyed by local and remote address."""
        out = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, check=False).stdout
        found = {}
        lines = out.splitlines()
        for line, detail in zip(lines, lines[1:]):
            if f"pid={self.pid}," in line:
                addresses = tuple(line.split()[3:5])
                sent = re.search(r"bytes_sent:(\d+)", detail)
                received = re.search(r"bytes_received:(\d+)", detail)
                found[addresses] = (int(sent[1]) if sent else 0,
                                    int(received[1]) if received else 0)
        return found


def peer_kind(addresses):
    port = addresses[1].rsplit(":", 1)[1]
    return {"9000": "platform", "7000": "workers", "7100": "minions"}.get(port, "operators")


def measure(process, name, seconds, work):
    begin_sockets = process.sockets()
    begin = time.monotonic()
    begin_cpu, begin_threads = process.seconds(), process.thread_seconds()
    work(begin + seconds)
    elapsed = time.monotonic() - begin
    cpu, threads, sockets = process.seconds(), process.thread_seconds(), process.sockets()
    traffic = {}
    for addresses, (sent, received) in sockets.items():
        before = begin_sockets.get(addresses, (0, 0))
        total = traffic.setdefault(peer_kind(addresses), [0, 0])
        total[0] += sent - before[0]
        total[1] += received - before[1]
    thread_cpu = {key: value - begin_threads.get(key, 0) for key, value in threads.items()}
    print(json.dumps({
        "window": name, "seconds": round(elapsed, 1), "core_percent":
        round(100 * (cpu - begin_cpu) / elapsed, 2),
        "threads_percent": {key: round(100 * value / elapsed, 2)
                            for key, value in sorted(thread_cpu.items(), key=lambda e: -e[1])[:6]},
        "rss_mb": round(process.memory("VmRSS"), 1), "peak_mb": round(process.memory("VmHWM"), 1),
        "bytes_a_second": {key: {"sent": round(sent / elapsed), "received":
                                 round(received / elapsed)}
                           for key, (sent, received) in sorted(traffic.items())},
        "load": os.getloadavg()[0]}), flush=True)


def idle(until):
    time.sleep(max(0, until - time.monotonic()))


def publish_changes(publisher, rate):
    def run(until):
        number, begin = 0, time.monotonic()
        while time.monotonic() < until:
            number += 1
            publisher.publish([{"section": f"tenant t{number % 100:03}", "key": "weight",
                                "value": str(2 + number // 100)}])
            time.sleep(max(0, begin + number / rate - time.monotonic()))
        print(json.dumps({"changes": number, "rate": round(number / (time.monotonic() - begin), 2)}))
    return run


def write_settings(folder):
    token = folder / "token"
    token.write_text(TOKEN + "\n")
    path = folder / "entry.ini"
    path.write_text("\n".join([
        "[entry-host]", "id=z00-1", "zone=z00", "region=g0", "[listen]", f"callers={ENTRY}:8080",
        f"operators={OPERATORS}", f"peers={ENTRY}:8082", "[platform]", f"address={PLATFORM}",
        "[tokens]", f"operators={token}"]) + "\n")
    return path


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=4500)
    parser.add_argument("--seconds", type=float, default=60, help="length of each window")
    parser.add_argument("--changes-factor", type=float, default=100)
    options = parser.parse_args()
    processes = []
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        text = design_document(options.hosts)
        (folder / "fleet.ini").write_text(text)
        document = configparser.ConfigParser(interpolation=None)
        document.read_string(text)

        def spawn(log, *command):
            output = open(folder / log, "w")
            processes.append(subprocess.Popen([str(part) for part in command], stdout=output,
                                              stderr=output))
            return processes[-1]

        try:
            spawn("platform", BUILD / "standins" / "standin-platform", "--listen", PLATFORM,
                  "--control", PLATFORM_CONTROL, "--document", folder / "fleet.ini")
            spawn("fleet", BUILD / "standins" / "standin-fleet", "--document",
                  folder / "fleet.ini", "--control", FLEET_CONTROL)
            wait_for("platform", lambda: request("/hosts", address=PLATFORM) is not None)
            wait_for("fleet", lambda: "listening" in (folder / "fleet").read_text())
            entry = spawn("entry", BUILD / "poplarstream", "serve", "--settings",
                          write_settings(folder))
            wait_for("entry host", lambda: request("/status") is not None)
            process = ProcessStats(entry.pid)
            publisher = Publisher()
            wait_for("log", lambda: request("/status")["log_reachable"])
            begin = time.monotonic()
            for stage in publication_stages(document):
                publisher.publish(stage)
            print(json.dumps({"published": publisher.version,
                              "seconds": round(time.monotonic() - begin, 1)}), flush=True)
            wait_for("readiness", lambda: request("/status")["ready"])
            time.sleep(15)
            measure(process, "idle", options.seconds, idle)
            rate = options.changes_factor * CHANGES_PER_DAY / 86400
            measure(process, f"changes x{options.changes_factor:g}", options.seconds,
                    publish_changes(publisher, rate))
        finally:
            for process in reversed(processes):
                process.terminate()
            for process in processes:
                process.wait(20)


if __name__ == "__main__":
    main()
