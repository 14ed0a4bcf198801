"""Runs soaks: `run.py --seed 1 --seeds 50 --parallel 4`. Exits with 1 if a promise was broken."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from soak import rules
from soak.accounts import Accounts
from soak.callers import FINAL_STATES, Callers
from soak.fleet import Fleet
from soak.history import History
from soak.plan import (Injector, ZoneCut, config_text, draw_faults, draw_order_pauses,
                       draw_store_losses, draw_zone_cuts)
from soak.processes import EntryProcess, default_binary, loopback_network, zone_of_client
from soak.serving import serve
from soak.store import Store

POOLS = {"alpha": 6, "beta": 6, "spare": 4}
STANDBY = "spare"
# Share of the runs that fail by themselves.
RUN_FAILURES_PER_MILLE = 30
# In soaks with a zone cut, this share of the runs takes longer by this factor: most others end
# before a new owner may start their tasks elsewhere, so that two runs at once would be rare.
SLOW_RUN_RATIO = 0.06
SLOW_RUN_FACTOR = 20
# Time for all jobs to complete after the last fault. The lease of a lost worker, a lease extension
# by its owner and a takeover may follow one another.
COMPLETION_TIMEOUT_S = 60.0




class Soak:
    def __init__(self, options, seed, folder):
        self.options, self.seed, self.folder = options, seed, folder
        self.random = random.Random(seed)
        self.zone_cuts = draw_zone_cuts(seed, options.seconds)
        self.history = History()
        self.store = Store(seed)
        network = loopback_network()
        self.entries = [EntryProcess(number, network, folder, options.binary)
                        for number in range(options.processes)]
        self.fleet = Fleet(self.store, self.history, self.describe_task, seed, POOLS, STANDBY,
                           lambda port: zone_of_client(self.entries, port))
        self.accounts = Accounts(seed, self.history)
        self.callers = Callers(self.entries, self.history, seed, self.accounts)
        self.version = 0

    def describe_task(self, task, run):
        """Returns a run's seconds, whether its task is long-running, and whether the run fails."""
        job_id, _, step, _ = task.split(".")
        job = self.callers.jobs.get(job_id)
        if job is None:
            return 1.0, False, False
        draw = random.Random("%s/%s/%d" % (self.seed, task, run))
        step_spec = job.step(int(step))
        seconds = step_spec.get("estimatedMs", 0) / 1000 * draw.uniform(0.7, 1.5)
        fails = job.always_fails or draw.randrange(1000) < RUN_FAILURES_PER_MILLE
        if self.zone_cuts and draw.random() < SLOW_RUN_RATIO:
            seconds *= SLOW_RUN_FACTOR
        return seconds, job.is_long_running, fails and not job.is_long_running

    async def write_config(self):
        self.version += self.random.randint(1, 3)
        await self.store.put("keyed.op", "config", config_text(
            self.version, POOLS, STANDBY, self.accounts.rows()))

    async def watch_waves(self):
        seen = set()
        while True:
            for key, (value, offset) in self.store.topic("keyed.status").latest().items():
                if key.startswith("wave/") and offset not in seen:
                    seen.add(offset)
                    state = "completed" if b"completed" in value else "running"
                    self.history.add("wave-status", wave=int(key[5:]), state=state)
            await asyncio.sleep(0.05)

    async def run(self):
        store_runner, store_address = await serve(self.store.app)
        machine_runner, machine_address = await serve(self.fleet.app)
        await self.write_config()
        await self.fleet.start()
        seeds = [entry.host for entry in self.entries[:3]]
        for entry in self.entries:
            await entry.prepare(store_address, machine_address, seeds, self.fleet.zone_cuts)
            entry.start()
        await self.callers.start()
        watchers = [asyncio.ensure_future(entry.supervise()) for entry in self.entries]
        watchers.append(asyncio.ensure_future(self.watch_waves()))
        try:
            await self._run_traffic()
        finally:
            for watcher in watchers:
                watcher.cancel()
            for entry in self.entries:
                entry.kill()
            await self.callers.stop()
            await store_runner.cleanup()
            await machine_runner.cleanup()
        self.history.write(self.folder / "history.jsonl")

    async def _run_traffic(self):
        await self._submit_until_accepted()
        faults = draw_faults(self.random, self.options.seconds, self.options.faults)
        faults += self.zone_cuts
        faults += draw_order_pauses(self.seed, self.options.seconds)
        faults += draw_store_losses(
            self.seed, [fault for fault in self.zone_cuts if isinstance(fault, ZoneCut)])
        (self.folder / "faults.txt").write_text("".join("%s\n" % fault for fault in faults))
        injector = Injector(self.entries, self.store, self.fleet, self.write_config)
        self.history.add("traffic")
        injections = [asyncio.ensure_future(injector.inject(fault)) for fault in faults]
        injections.append(asyncio.ensure_future(injector.change_keys(
            self.accounts, self.accounts.draw_changes(self.options.seconds))))
        faults_over, stop = asyncio.Event(), asyncio.Event()
        probing = asyncio.ensure_future(self.accounts.probe(self.callers, stop))
        job_tasks = await self.callers.run(self.options.seconds, self.options.rate, faults_over,
                                           stop)
        await asyncio.gather(*injections)
        self.history.add("faults-over")
        faults_over.set()
        await asyncio.wait(job_tasks, timeout=COMPLETION_TIMEOUT_S)
        stop.set()
        await asyncio.gather(*job_tasks, probing)
        for job in self.callers.jobs.values():
            if job.is_accepted and job.state not in FINAL_STATES:
                await self.callers.poll_state(job)

    async def _submit_until_accepted(self):
        while not any(job.is_accepted for job in self.callers.jobs.values()):
            await self.callers.submit(self.callers.make_job(allow_long_running=False))

    def breaches(self):
        found = rules.check(self.history.events, self.callers.jobs)
        for entry in self.entries:
            found += ["exit: %s ended by itself with %d" % name_and_status
                      for name_and_status in entry.unexpected_exits]
        if not any(job.state == "completed" for job in self.callers.jobs.values()):
            found.append("nothing was completed")
        return found

    def summary(self):
        jobs = self.callers.jobs.values()
        starts = sum(event["kind"] == "start" for event in self.history.events)
        return "%d jobs, %d accepted, %d completed, %d cancelled, %d starts" % (
            len(jobs), sum(job.is_accepted for job in jobs),
            sum(job.state == "completed" for job in jobs),
            sum(job.is_cancelled for job in jobs), starts)


def run_seed(options, seed, folder):
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(options, seed, folder)
    asyncio.run(soak.run())
    breaches = soak.breaches()
    print("seed %s: %s, %s" % (seed, "%d BROKEN" % len(breaches) if breaches else "held",
                               soak.summary()), flush=True)
    for breach in breaches[:20]:
        print("    " + breach, flush=True)
    if breaches:
        print("    kept in %s" % folder, flush=True)
    return not breaches


async def run_seeds(options, seeds, folder):
    """Runs each seed in its own process, `options.parallel` at a time."""
    slots = asyncio.Semaphore(options.parallel)
    results = []

    async def run_in_process(seed):
        async with slots:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "soak.run", "--seed", str(seed), "--seeds", "1",
                "--seconds", str(options.seconds), "--processes", str(options.processes),
                "--rate", str(options.rate), "--faults", str(options.faults),
                "--binary", str(options.binary), "--folder", str(folder))
            results.append(await process.wait() == 0)

    await asyncio.gather(*(run_in_process(seed) for seed in seeds))
    print("%d seeds, %d held" % (len(results), sum(results)))
    return all(results)


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first soak")
    parser.add_argument("--seeds", type=int, default=1, help="how many soaks, one seed each")
    parser.add_argument("--parallel", type=int, default=2, help="soaks at the same time")
    parser.add_argument("--seconds", type=float, default=12.0, help="of traffic")
    parser.add_argument("--processes", type=int, default=4, help="entry processes")
    parser.add_argument("--rate", type=float, default=12.0, help="jobs a second")
    parser.add_argument("--faults", type=int, default=6)
    parser.add_argument("--binary", type=pathlib.Path, default=default_binary())
    parser.add_argument("--folder", type=pathlib.Path, help="for logs; a new one by default")
    return parser.parse_args()


def main():
    options = parse_options()
    folder = options.folder or pathlib.Path(tempfile.mkdtemp(prefix="poplar-soak-"))
    if options.seeds == 1:
        return 0 if run_seed(options, options.seed, folder / str(options.seed)) else 1
    seeds = range(options.seed, options.seed + options.seeds)
    return 0 if asyncio.run(run_seeds(options, seeds, folder)) else 1


if __name__ == "__main__":
    sys.exit(main())
