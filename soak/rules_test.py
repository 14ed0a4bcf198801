"""Checks that each rule accepts a correct history and reports a breach that is added to it."""

import unittest

from soak import rules
from soak.callers import Job

TWO_STEPS = [{"count": 2, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]}]
LONG_RUNNING = [{"count": 3, "cpu": 400, "longRunning": True, "mayMiss": 1}]


def job(identity="j", steps=None, **flags):
    new_job = Job(identity, "alpha", steps or TWO_STEPS, **flags)
    new_job.is_accepted, new_job.state = True, "completed"
    return new_job


def start(t, task, run=1, worker="w1", late=False, spec=None, service="alpha"):
    return {"t": t, "kind": "start", "task": task, "run": run, "worker": worker, "late": late,
            "service": service, "spec": spec or "spec of " + task.split(".")[0]}


def end(t, task, run=1, worker="w1", how="done", kind="end"):
    return {"t": t, "kind": kind, "task": task, "run": run, "worker": worker, "how": how}


def stop(t, task, run=1, worker="w1"):
    return {"t": t, "kind": "stop", "task": task, "run": run, "worker": worker, "percent": 100,
            "late": False}


def event_at(t, kind, **fields):
    return {"t": t, "kind": kind, **fields}


def correct_history():
    """A two-step job that is submitted, run and reported as completed."""
    return [
        event_at(0.0, "submit", job="j"), event_at(0.1, "submit-answer", job="j", status=200),
        start(0.2, "j.0.0.0"), start(0.2, "j.0.0.1", worker="w2"),
        end(1.0, "j.0.0.0"), end(1.1, "j.0.0.1", worker="w2"),
        end(1.2, "j.0.0.0", kind="noted"), end(1.2, "j.0.0.1", worker="w2", kind="noted"),
        start(1.3, "j.0.1.0"), end(2.0, "j.0.1.0"), end(2.1, "j.0.1.0", kind="noted"),
        event_at(2.2, "state", job="j", status=200, state="completed"),
    ]


class Rules(unittest.TestCase):
    def assert_no_breach(self, events, *jobs):
        self.assertEqual(rules.check(events, {each.id: each for each in jobs or (job(),)}), [])

    def assert_breach(self, rule, events, *jobs):
        found = rules.check(events, {each.id: each for each in jobs or (job(),)})
        self.assertEqual({text.split(":")[0] for text in found}, {rule}, found)

    def with_events(self, *events):
        return sorted(correct_history() + list(events), key=lambda event: event["t"])

    def test_correct_history(self):
        self.assert_no_breach(correct_history())

    def test_two_runs_at_once(self):
        self.assert_breach("run_twice",
                           self.with_events(start(0.5, "j.0.0.0", run=2, worker="w3")))

    def test_due_work_that_stands(self):
        # Guards against jobs that have nothing running although workers have room (issue 56).
        def history(second_start, used_elsewhere=0):
            events = [event_at(0.0, "life", worker="w1", machine="m1", service="alpha"),
                      event_at(0.1, "submit-answer", job="j", status=200),
                      event_at(1.0, "faults-over"), start(20.0, "j.0.0.0"),
                      start(20.0, "j.0.0.1", worker="w2")]
            if used_elsewhere:
                events += [event_at(20.0, "submit-answer", job="k", status=200),
                           start(20.0, "k.0.0.0", worker="w3"), end(60.0, "k.0.0.0", worker="w3")]
            return sorted(events + [
                end(20.5, "j.0.0.0"), end(20.5, "j.0.0.1", worker="w2"),
                start(second_start, "j.0.1.0"), end(second_start + 1, "j.0.1.0")],
                key=lambda event: event["t"])

        other = job("k", [{"count": 1, "cpu": 2000}])
        # The first start comes 5 s after work may not stand any more.
        self.assert_breach("due_work_runs", history(21.0))
        early = [event for event in history(21.0) if event["kind"] != "faults-over"]
        self.assert_no_breach(early + [event_at(22.5, "faults-over")])
        late = [event_at(5.0, "faults-over") if event["kind"] == "faults-over" else event
                for event in history(26.0)]
        late.sort(key=lambda event: event["t"])
        self.assert_breach("due_work_runs", late)
        busy = [event_at(5.0, "faults-over") if event["kind"] == "faults-over" else event
                for event in history(26.0, used_elsewhere=2000)]
        busy.sort(key=lambda event: event["t"])
        self.assert_no_breach(busy, job(), other)

    def test_run_beside_one_that_is_out_of_reach(self):
        # Guards against a takeover while a worker that the new owner cannot reach lives on: its
        # run counts until it ends, by the end of its lease at the latest.
        long_running = job("k", LONG_RUNNING, is_long_running=True)
        first, second = start(0.0, "k.0.0.0"), start(8.0, "k.0.0.0", run=2, worker="w2")
        lapsed_before = end(7.9, "k.0.0.0", how="lapsed")
        lapsed_after = end(8.1, "k.0.0.0", how="lapsed")
        cut = event_at(1.0, "zone-cut", zone="z0", fault="")
        self.assert_no_breach([first, cut, lapsed_before, second], long_running)
        self.assert_breach("run_twice", [first, cut, second, lapsed_after], long_running)

    def test_start_after_acknowledged_success(self):
        self.assert_breach("run_twice",
                           self.with_events(start(1.25, "j.0.0.0", run=2, worker="w3")))
        # A command that the worker executes late is no breach by the system.
        self.assert_no_breach(
            self.with_events(start(1.25, "j.0.0.0", run=2, worker="w3", late=True)))

    def test_rerun_after_a_crash(self):
        crash = [start(0.2, "j.0.0.0", worker="w9"),
                 end(0.3, "j.0.0.0", worker="w9", how="crashed")]
        events = [event for event in correct_history() if event.get("task") != "j.0.0.0"]
        rerun = [start(0.5, "j.0.0.0", run=2), end(1.0, "j.0.0.0", run=2),
                 end(1.1, "j.0.0.0", run=2, kind="noted")]
        self.assert_no_breach(sorted(events + crash + rerun, key=lambda event: event["t"]))

    def test_start_before_earlier_step_is_done(self):
        self.assert_breach("order", self.with_events(
            start(0.9, "j.0.1.0", worker="w5"),
            end(0.95, "j.0.1.0", worker="w5", how="stopped")))

    def test_worker_over_capacity(self):
        starts = [start(0.3, "k.0.0.%d" % i, worker="w7") for i in range(5)]
        self.assert_breach("limit", self.with_events(*starts), job(),
                           job("k", [{"count": 5, "cpu": 1000}]))

    def test_start_after_last_attempt(self):
        events = []
        for run in range(1, rules.MAX_ATTEMPTS + 2):
            events += [start(run, "k.0.0.0", run=run), end(run + 0.1, "k.0.0.0", run, how="failed"),
                       end(run + 0.2, "k.0.0.0", run, how="failed", kind="noted")]
        failed = job("k", [{"count": 1, "cpu": 100}])
        failed.state = "failed"
        self.assert_breach("budget", events, failed)

    def test_start_of_unknown_task(self):
        self.assert_breach("asked_for", self.with_events(start(0.3, "x.0.0.0", worker="w4")))
        self.assert_breach("asked_for", [start(0.3, "j.0.0.0", spec="other")])
        self.assert_breach("asked_for", [start(0.3, "j.0.0.0", service="beta")])

    def test_start_after_cancellation(self):
        cancelled = job("k", [{"count": 1, "cpu": 100}])
        cancelled.is_cancelled, cancelled.state = True, "cancelled"
        events = [event_at(0.9, "cancel", job="k"),
                  event_at(1.0, "cancel-answer", job="k", status=200)]
        self.assert_no_breach(events + [start(1.2, "k.0.0.0")], cancelled)
        self.assert_breach("asked_for", events + [start(5.5, "k.0.0.0")], cancelled)

    def test_start_of_refused_job(self):
        refused = job("k", [{"count": 1, "cpu": 100}])
        refused.is_accepted = False
        events = [event_at(0.1, "submit-answer", job="k", status=503), start(0.5, "k.0.0.0")]
        self.assert_breach("refusals_true", events, refused)
        # A submission without a response was not refused.
        self.assert_no_breach(events + [event_at(0.6, "submit-answer", job="k", status=None)],
                              refused)

    def test_wrong_state(self):
        early = event_at(1.15, "state", job="j", status=200, state="completed")
        self.assert_breach("states_true", self.with_events(early))
        self.assert_breach("states_true", self.with_events(
            event_at(1.15, "state", job="j", status=200, state="failed")))
        self.assert_breach("states_true", self.with_events(
            event_at(1.15, "state", job="j", status=200, state="cancelled")))
        self.assert_breach("states_true", self.with_events(
            event_at(9.0, "state", job="j", status=410, state=None)))

    def test_job_without_final_state(self):
        lost = job()
        lost.state = "running"
        self.assert_breach("all_ended", correct_history(), lost)

    def test_commands_of_two_holders(self):
        commands = [event_at(1.0, "machine-order", machine="m1", holder="a", token=2, order="move"),
                    event_at(2.0, "machine-order", machine="m1", holder="b", token=1, order="move")]
        self.assert_breach("one_holder", commands)
        commands[1]["token"] = 2
        self.assert_breach("one_holder", commands)
        commands[1]["token"] = 3
        self.assert_no_breach(commands)

    def test_waves(self):
        wave = event_at(0.5, "wave", wave=1, machines=["m1", "m2"], cap=1)
        first = event_at(1.0, "upkeep", machine="m1", wave=1, away=0, cap=1)
        second = event_at(2.0, "upkeep", machine="m2", wave=1, away=0, cap=1)
        completed = event_at(3.0, "wave-status", wave=1, state="completed")
        self.assert_no_breach([wave, first, second, completed])
        self.assert_breach("waves_whole", [wave, first, completed])
        self.assert_breach("waves_whole", [wave, first, {**second, "away": 1}])

    def test_long_running_tasks_ended_together(self):
        long_running = job("k", LONG_RUNNING, is_long_running=True)
        starts = [start(0.0, "k.0.0.%d" % i, worker="w%d" % i) for i in range(3)]
        first_stop = [stop(2.0, "k.0.0.0", worker="w0"),
                      end(2.1, "k.0.0.0", worker="w0", how="stopped")]
        self.assert_no_breach(starts + first_stop, long_running)
        self.assert_breach("availability", starts + first_stop + [
            end(2.2, "k.0.0.1", worker="w1", how="upkeep")], long_running)
        restart = [start(2.2, "k.0.0.0", run=2, worker="w5")]
        self.assert_no_breach(starts + first_stop + restart + [
            end(3.0, "k.0.0.1", worker="w1", how="moved")], long_running)

    def test_keys(self):
        owned = job("k", [{"count": 1, "cpu": 100}])
        owned.account = "acme"
        added = [event_at(0.0, "key-added", key=name[:1], account=name)
                 for name in ("acme", "brook")]
        added.append(event_at(5.0, "key-withdrawn", key="a", account="acme"))

        def call(sent, key, status):
            return event_at(sent + 0.1, "call", method="GET", job="k", key=key, sent=sent,
                            status=status)
        self.assert_no_breach(added + [
            call(1.0, "a", 401), call(3.0, "a", 200), call(6.0, "a", 401), call(7.0, "a", 200),
            call(8.0, None, 401), call(8.0, "b", 410), call(8.0, "x", 503)], owned)
        for breach in (call(3.0, "a", 401), call(5.0 + rules.WITHDRAWAL_GRACE_S + 1, "a", 200),
                       call(3.0, None, 200), call(3.0, "x", 200), call(3.0, "b", 200)):
            self.assert_breach("keys", added + [breach], owned)

    def test_caps(self):
        owned = job("k", [{"count": 8, "cpu": 1000}])
        owned.account = "acme"
        starts = [start(0.1 * i, "k.0.0.%d" % i, worker="w%d" % i) for i in range(8)]
        self.assert_no_breach(starts[:7], owned)
        self.assert_breach("caps", starts, owned)
        self.assert_no_breach(starts[:7] + [end(0.65, "k.0.0.0", worker="w0"), starts[7]], owned)


if __name__ == "__main__":
    unittest.main()
