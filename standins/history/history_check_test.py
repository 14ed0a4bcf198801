"""Guards against a history-check that misses a violation: each test injects one fault into a
history that keeps every guarantee, and exactly the violated guarantees must be reported.
usage: history_check_test.py PROGRAM"""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

PROGRAM = sys.argv.pop()
START = 1_700_000_000_000

DOCUMENT = """[fleet]
name=test
[zone a]
region=r
[pool p]
services=ticket,invoice
max_away=1
spare=no
[service ticket]
class=urgent
idempotent=no
deadline_ms=1000
[service invoice]
class=slow
idempotent=no
deadline_ms=60000
run_seconds=1
[host h1]
zone=a
rack=r1
pool=p
cpus=4
memory_mb=4096
worker=127.0.1.1:7000
minions=127.0.1.1:7100
[host h2]
zone=a
rack=r2
pool=p
cpus=4
memory_mb=4096
worker=127.0.1.2:7000
minions=127.0.1.2:7100
"""


def urgent(number, at, **changes):
    return {"kind": "request", "class": "urgent", "service": "ticket", "number": number,
            "nonce": f"n{number}", "answer_nonce": f"n{number}", "sent_ms": START + at,
            "elapsed_ms": 50, "status": 200, "answered": True, "verdict": "ran", "run": "",
            "entry": "127.4.1.1:8080", **changes}


def execution(number, at, minion="h1/0"):
    return {"kind": "execution", "request": f"r{number}", "nonce": f"n{number}", "outcome": "done",
            "service": "ticket", "minion": minion, "start_ms": START + at, "end_ms": START + at}


def host(kind, name, at):
    return {"kind": kind, "host": name, "time_ms": START + at}


def work(name, at):
    return {"kind": "work", "request": "r", "nonce": "", "minion": f"{name}/0",
            "time_ms": START + at}


def started(at, offset):
    return {"kind": "run-started", "run": "a-1", "token": {"offset": offset, "index": 0},
            "service": "invoice", "host": "h2", "continued": False, "start_ms": START + at}


def sample(version, at, process="a-1/1"):
    return {"time_ms": START + at, "process": process, "version": version}


def change(at, base, weight):
    edits = [{"section": "fleet", "key": "weight_moves", "value": weight}]
    if base == 0:
        edits = []
        for line in DOCUMENT.splitlines():
            if line.startswith("["):
                section = line.strip("[]")
            else:
                key, value = line.split("=", 1)
                edits.append({"section": section, "key": key, "value": value})
    return {"stream": "control", "time_ms": START + at,
            "data": {"id": f"c{base}", "writer": "a-1",
                     "body": {"type": "config-change", "author": "t", "baseVersion": base,
                              "edits": edits}}}


class InjectedFaults(unittest.TestCase):
    def setUp(self):
        self.callers = [urgent(1, 100), urgent(2, 200)]
        self.fleet = [host("boot", "h1", 0), host("boot", "h2", 0), work("h1", 110),
                      execution(1, 120), execution(2, 220), started(300, 5),
                      host("drain", "h1", 400), host("reboot", "h1", 500),
                      host("not-answering", "h1", 600), host("boot", "h1", 900),
                      host("answering", "h1", 900), host("drain", "h2", 1000),
                      host("undrain", "h2", 1500)]
        self.status = [sample(1, 50), sample(1, 9_000), sample(2, 12_000), sample(2, 30_000)]
        self.platform = [change(0, 0, "1"), change(10_000, 1, "2")]
        self.faults = []

    def violated_guarantees(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "fleet.ini").write_text(DOCUMENT)
            for file in ("callers", "fleet", "status", "platform", "faults"):
                lines = [json.dumps(line) for line in getattr(self, file)]
                (folder / f"{file}.jsonl").write_text("".join(line + "\n" for line in lines))
            result = subprocess.run([PROGRAM, folder], capture_output=True, text=True, check=False)
        self.assertIn(result.returncode, (0, 1), result.stderr)
        checks = [json.loads(line) for line in result.stdout.splitlines()]
        self.checked = {check["promise"]: check["checked"] for check in checks}
        return [check["promise"] for check in checks if check["violations"]]

    def test_no_fault(self):
        self.assertEqual(self.violated_guarantees(), [])
        self.assertEqual(self.checked["config-in-force"], 3)
        self.assertEqual(self.checked["one-pool"], 2)

    def test_response_to_another_request(self):
        self.callers[0]["answer_nonce"] = "n2"
        self.assertEqual(self.violated_guarantees(), ["right-answer"])

    def test_refused_but_executed(self):
        self.callers[0].update(verdict="not-run", status=503)
        self.assertEqual(self.violated_guarantees(), ["verdicts-true"])

    def test_refused_but_cut_while_it_ran(self):
        self.callers.append(urgent(3, 300, verdict="not-run", status=503))
        self.fleet.append({**work("h1", 310), "kind": "cut", "nonce": "n3", "started": True,
                           "service": "ticket"})
        self.assertEqual(self.violated_guarantees(), ["verdicts-true"])

    def test_non_idempotent_request_executed_twice(self):
        self.fleet.append(execution(1, 250, "h2/0"))
        self.assertEqual(self.violated_guarantees(), ["non-idempotent-once"])

    def test_non_idempotent_run_started_twice(self):
        self.fleet.append(started(2_000, 9))
        self.assertEqual(self.violated_guarantees(), ["non-idempotent-once"])

    def end_run(self, at, outcome):
        self.fleet.append({**started(at, 5), "kind": "run-execution", "outcome": outcome})

    def test_non_idempotent_run_continued(self):
        self.end_run(1_900, "checkpointed")
        self.fleet.append({**started(2_000, 9), "continued": True})
        self.assertEqual(self.violated_guarantees(), [])

    def test_non_idempotent_run_continued_twice(self):
        self.end_run(1_900, "checkpointed")
        self.fleet += [{**started(2_000, 9), "continued": True},
                       {**started(2_100, 10), "continued": True}]
        self.assertEqual(self.violated_guarantees(), ["non-idempotent-once"])

    def test_non_idempotent_run_continued_without_checkpoint(self):
        self.end_run(1_900, "lost")
        self.fleet.append({**started(2_000, 9), "continued": True})
        self.assertEqual(self.violated_guarantees(), ["non-idempotent-once"])

    def test_accepted_run_unknown_at_the_end(self):
        self.callers.append(urgent(3, 300, **{"class": "slow"}, service="invoice", status=202,
                                   run="a-9"))
        self.assertEqual(self.violated_guarantees(), ["no-accepted-run-lost"])

    def test_second_drain_beyond_the_budget(self):
        self.fleet.append(host("drain", "h2", 700))
        self.fleet.sort(key=lambda line: line.get("time_ms", line.get("start_ms")))
        self.assertEqual(self.violated_guarantees(), ["availability-budget-seen"])

    def test_work_for_a_leaving_minion(self):
        self.fleet.append(host("drain", "h2", 20_000))
        self.fleet.append(work("h2", 22_100))
        self.assertEqual(self.violated_guarantees(), ["no-work-for-leaving"])

    def test_request_cut_by_a_reboot(self):
        cut = {**work("h1", 550), "kind": "cut", "started": False}
        self.fleet.insert(8, cut)
        self.assertEqual(self.violated_guarantees(), ["no-request-cut"])

    def test_request_cut_by_a_stopped_entry_host(self):
        self.faults.append({"kind": "planned-stop", "entry": "127.4.1.1:8080",
                            "time_ms": START + 90})
        self.callers[0].update(answered=False, status=0, verdict="may-have-run")
        self.assertEqual(self.violated_guarantees(), ["no-request-cut"])

    def test_version_reverts(self):
        self.status.append(sample(1, 30_100))
        self.assertEqual(self.violated_guarantees(), ["config-never-reverts", "config-in-force"])

    def test_version_late(self):
        self.status += [sample(1, 50, "b-1/1"), sample(1, 19_100, "b-1/1")]
        self.assertEqual(self.violated_guarantees(), ["config-in-force"])

    def test_version_late_because_the_log_was_away(self):
        self.status += [sample(1, 50, "b-1/1"), sample(1, 19_100, "b-1/1")]
        self.faults.append({"kind": "log-away", "time_ms": START + 9_500,
                            "until_ms": START + 15_000})
        self.assertEqual(self.violated_guarantees(), [])


if __name__ == "__main__":
    unittest.main()
