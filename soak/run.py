"""Runs a soak: `run.py --seed 1 --seeds 50 --parallel 4`. Ends with 1 when a promise was broken."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from soak import rules
from soak.callers import FINAL, Callers
from soak.fleet import Fleet
from soak.history import History
from soak.plan import Injector, config_text, draw_faults
from soak.processes import Entry, default_binary, loopback_network
from soak.serving import serve
from soak.store import Store

POOLS = {"alpha": 6, "beta": 6, "spare": 4}
STANDBY = "spare"
# Of a job's tasks so many in a thousand fail by their own fault.
FAILS_PER_MILLE = 30
# Until all jobs have ended after the last fault: the lease of a lost worker, an owner's extension
# and a takeover come one after the other.
FINISH_S = 60.0




class Soak:
    def __init__(self, options, seed, folder):
        self.options, self.seed, self.folder = options, seed, folder
        self.random = random.Random(seed)
        self.history = History()
        self.store = Store(seed)
        self.fleet = Fleet(self.store, self.history, self.work, seed, POOLS, STANDBY)
        network = loopback_network()
        self.entries = [Entry(number, network, folder, options.binary)
                        for number in range(options.processes)]
        self.callers = Callers(self.entries, self.history, seed)
        self.version = 0

    def work(self, task, run):
        """What a task is: its seconds, whether it lasts, whether this run of it fails."""
        identity, _, step, _ = task.split(".")
        job = self.callers.jobs.get(identity)
        if job is None:
            return 1.0, False, False
        draw = random.Random("%s/%s/%d" % (self.seed, task, run))
        described = job.step(int(step))
        seconds = described.get("estimatedMs", 0) / 1000 * draw.uniform(0.7, 1.5)
        fails = job.is_hopeless or draw.randrange(1000) < FAILS_PER_MILLE
        return seconds, job.is_lasting, fails and not job.is_lasting

    async def write_config(self):
        self.version += self.random.randint(1, 3)
        await self.store.put("keyed.op", "config", config_text(self.version, POOLS, STANDBY))

    async def watch_waves(self):
        seen = set()
        while True:
            for key, (value, offset) in self.store.topic("keyed.status").newest().items():
                if key.startswith("wave/") and offset not in seen:
                    seen.add(offset)
                    state = "completed" if b"completed" in value else "running"
                    self.history.add("wave-status", wave=int(key[5:]), state=state)
            await asyncio.sleep(0.05)

    async def play(self):
        store_runner, store_address = await serve(self.store.app)
        machine_runner, machine_address = await serve(self.fleet.app)
        await self.write_config()
        await self.fleet.start()
        seeds = [entry.host for entry in self.entries[:3]]
        for entry in self.entries:
            await entry.prepare(store_address, machine_address, seeds)
            entry.start()
        await self.callers.start()
        watchers = [asyncio.ensure_future(entry.watch()) for entry in self.entries]
        watchers.append(asyncio.ensure_future(self.watch_waves()))
        try:
            await self._traffic()
        finally:
            for watcher in watchers:
                watcher.cancel()
            for entry in self.entries:
                entry.end()
            await self.callers.stop()
            await store_runner.cleanup()
            await machine_runner.cleanup()
        self.history.write(self.folder / "history.jsonl")

    async def _traffic(self):
        await self._until_ready()
        faults = draw_faults(self.random, self.options.seconds, self.options.faults)
        (self.folder / "faults.txt").write_text("".join("%s\n" % fault for fault in faults))
        injector = Injector(self.entries, self.store, self.fleet, self.write_config)
        self.history.add("traffic")
        injections = [asyncio.ensure_future(injector.inject(fault)) for fault in faults]
        calm, over = asyncio.Event(), asyncio.Event()
        followers = await self.callers.run(self.options.seconds, self.options.rate, calm, over)
        await asyncio.gather(*injections)
        self.history.add("faults-over")
        calm.set()
        await asyncio.wait(followers, timeout=FINISH_S)
        over.set()
        await asyncio.gather(*followers)
        for job in self.callers.jobs.values():
            if job.is_accepted and job.state not in FINAL:
                await self.callers.look(job)

    async def _until_ready(self):
        while not any(job.is_accepted for job in self.callers.jobs.values()):
            await self.callers.hand_in(self.callers.make_job(may_last=False))

    def breaches(self):
        found = rules.check(self.history.events, self.callers.jobs)
        for entry in self.entries:
            found += ["exit: %s ended by itself with %d" % each for each in entry.unwanted_exits]
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


def play_one(options, seed, folder):
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(options, seed, folder)
    asyncio.run(soak.play())
    breaches = soak.breaches()
    print("seed %s: %s, %s" % (seed, "%d BROKEN" % len(breaches) if breaches else "held",
                               soak.summary()), flush=True)
    for breach in breaches[:20]:
        print("    " + breach, flush=True)
    if breaches:
        print("    kept in %s" % folder, flush=True)
    return not breaches


async def play_many(options, seeds, folder):
    """Each seed in a process of its own; so many at once."""
    turns = asyncio.Semaphore(options.parallel)
    results = []

    async def one(seed):
        async with turns:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "soak.run", "--seed", str(seed), "--seeds", "1",
                "--seconds", str(options.seconds), "--processes", str(options.processes),
                "--rate", str(options.rate), "--faults", str(options.faults),
                "--binary", str(options.binary), "--folder", str(folder))
            results.append(await process.wait() == 0)

    await asyncio.gather(*(one(seed) for seed in seeds))
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
        return 0 if play_one(options, options.seed, folder / str(options.seed)) else 1
    seeds = range(options.seed, options.seed + options.seeds)
    return 0 if asyncio.run(play_many(options, seeds, folder)) else 1


if __name__ == "__main__":
    sys.exit(main())
