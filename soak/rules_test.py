"""Each rule holds on a history without faults, and finds a fault that is planted in it."""

import unittest

from soak import rules
from soak.callers import Job

PLAIN = [{"count": 2, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]}]
LASTING = [{"count": 3, "cpu": 400, "longRunning": True, "mayMiss": 1}]


def job(identity="j", steps=None, **flags):
    made = Job(identity, "alpha", steps or PLAIN, **flags)
    made.is_accepted, made.state = True, "completed"
    return made


def start(t, task, run=1, worker="w1", late=False, spec=None, service="alpha"):
    return {"t": t, "kind": "start", "task": task, "run": run, "worker": worker, "late": late,
            "service": service, "spec": spec or "spec of " + task.split(".")[0]}


def end(t, task, run=1, worker="w1", how="done", kind="end"):
    return {"t": t, "kind": kind, "task": task, "run": run, "worker": worker, "how": how}


def stop(t, task, run=1, worker="w1"):
    return {"t": t, "kind": "stop", "task": task, "run": run, "worker": worker, "percent": 100,
            "late": False}


def seen(t, kind, **fields):
    return {"t": t, "kind": kind, **fields}


def calm_day():
    """A job of two steps that is handed in, run and shown as completed."""
    return [
        seen(0.0, "submit", job="j"), seen(0.1, "submit-answer", job="j", status=200),
        start(0.2, "j.0.0.0"), start(0.2, "j.0.0.1", worker="w2"),
        end(1.0, "j.0.0.0"), end(1.1, "j.0.0.1", worker="w2"),
        end(1.2, "j.0.0.0", kind="noted"), end(1.2, "j.0.0.1", worker="w2", kind="noted"),
        start(1.3, "j.0.1.0"), end(2.0, "j.0.1.0"), end(2.1, "j.0.1.0", kind="noted"),
        seen(2.2, "state", job="j", status=200, state="completed"),
    ]


class Rules(unittest.TestCase):
    def holds(self, events, *jobs):
        self.assertEqual(rules.check(events, {each.id: each for each in jobs or (job(),)}), [])

    def breaks(self, rule, events, *jobs):
        found = rules.check(events, {each.id: each for each in jobs or (job(),)})
        self.assertEqual({text.split(":")[0] for text in found}, {rule}, found)

    def with_more(self, *more):
        return sorted(calm_day() + list(more), key=lambda event: event["t"])

    def test_calm_day(self):
        self.holds(calm_day())

    def test_two_runs_at_once(self):
        self.breaks("run_twice", self.with_more(start(0.5, "j.0.0.0", run=2, worker="w3")))

    def test_start_after_a_noted_end(self):
        self.breaks("run_twice", self.with_more(start(1.25, "j.0.0.0", run=2, worker="w3")))
        # An order that its worker carries out late is not the system's doing by then.
        self.holds(self.with_more(start(1.25, "j.0.0.0", run=2, worker="w3", late=True)))

    def test_rerun_after_a_crash(self):
        crash = [start(0.2, "j.0.0.0", worker="w9"), end(0.3, "j.0.0.0", worker="w9", how="crashed")]
        events = [event for event in calm_day() if event.get("task") != "j.0.0.0"]
        rerun = [start(0.5, "j.0.0.0", run=2), end(1.0, "j.0.0.0", run=2),
                 end(1.1, "j.0.0.0", run=2, kind="noted")]
        self.holds(sorted(events + crash + rerun, key=lambda event: event["t"]))

    def test_step_that_does_not_wait(self):
        self.breaks("order", self.with_more(start(0.9, "j.0.1.0", worker="w5"),
                                            end(0.95, "j.0.1.0", worker="w5", how="stopped")))

    def test_worker_over_its_room(self):
        crowd = [start(0.3, "k.0.0.%d" % i, worker="w7") for i in range(5)]
        self.breaks("limit", self.with_more(*crowd), job(), job("k", [{"count": 5, "cpu": 1000}]))

    def test_attempts_beyond_the_budget(self):
        events = []
        for run in range(1, rules.MAX_ATTEMPTS + 2):
            events += [start(run, "k.0.0.0", run=run), end(run + 0.1, "k.0.0.0", run, how="failed"),
                       end(run + 0.2, "k.0.0.0", run, how="failed", kind="noted")]
        failed = job("k", [{"count": 1, "cpu": 100}])
        failed.state = "failed"
        self.breaks("budget", events, failed)

    def test_start_that_nobody_asked_for(self):
        self.breaks("asked_for", self.with_more(start(0.3, "x.0.0.0", worker="w4")))
        self.breaks("asked_for", [start(0.3, "j.0.0.0", spec="other")])
        self.breaks("asked_for", [start(0.3, "j.0.0.0", service="beta")])

    def test_start_after_a_cancellation(self):
        cancelled = job("k", [{"count": 1, "cpu": 100}])
        cancelled.is_cancelled, cancelled.state = True, "cancelled"
        events = [seen(0.9, "cancel", job="k"), seen(1.0, "cancel-answer", job="k", status=200)]
        self.holds(events + [start(1.2, "k.0.0.0")], cancelled)
        self.breaks("asked_for", events + [start(5.5, "k.0.0.0")], cancelled)

    def test_refusal_that_is_not_true(self):
        refused = job("k", [{"count": 1, "cpu": 100}])
        refused.is_accepted = False
        events = [seen(0.1, "submit-answer", job="k", status=503), start(0.5, "k.0.0.0")]
        self.breaks("refusals_true", events, refused)
        # Without an answer nobody said that it would not run.
        self.holds(events + [seen(0.6, "submit-answer", job="k", status=None)], refused)

    def test_states_that_are_not_true(self):
        early = seen(1.15, "state", job="j", status=200, state="completed")
        self.breaks("states_true", self.with_more(early))
        self.breaks("states_true", self.with_more(
            seen(1.15, "state", job="j", status=200, state="failed")))
        self.breaks("states_true", self.with_more(
            seen(1.15, "state", job="j", status=200, state="cancelled")))
        self.breaks("states_true", self.with_more(
            seen(9.0, "state", job="j", status=410, state=None)))

    def test_job_that_is_lost(self):
        lost = job()
        lost.state = "running"
        self.breaks("all_ended", calm_day(), lost)

    def test_two_holders(self):
        orders = [seen(1.0, "machine-order", machine="m1", holder="a", token=2, order="move"),
                  seen(2.0, "machine-order", machine="m1", holder="b", token=1, order="move")]
        self.breaks("one_holder", orders)
        orders[1]["token"] = 2
        self.breaks("one_holder", orders)
        orders[1]["token"] = 3
        self.holds(orders)

    def test_waves(self):
        wave = seen(0.5, "wave", wave=1, machines=["m1", "m2"], cap=1)
        first = seen(1.0, "upkeep", machine="m1", wave=1, away=0, cap=1)
        second = seen(2.0, "upkeep", machine="m2", wave=1, away=0, cap=1)
        over = seen(3.0, "wave-status", wave=1, state="completed")
        self.holds([wave, first, second, over])
        self.breaks("waves_whole", [wave, first, over])
        self.breaks("waves_whole", [wave, first, {**second, "away": 1}])

    def test_lasting_tasks_taken_away_together(self):
        lasting = job("k", LASTING, is_lasting=True)
        begun = [start(0.0, "k.0.0.%d" % i, worker="w%d" % i) for i in range(3)]
        one = [stop(2.0, "k.0.0.0", worker="w0"),
               end(2.1, "k.0.0.0", worker="w0", how="stopped")]
        self.holds(begun + one, lasting)
        self.breaks("availability", begun + one + [
            end(2.2, "k.0.0.1", worker="w1", how="upkeep")], lasting)
        back = [start(2.2, "k.0.0.0", run=2, worker="w5")]
        self.holds(begun + one + back + [end(3.0, "k.0.0.1", worker="w1", how="moved")], lasting)


if __name__ == "__main__":
    unittest.main()
