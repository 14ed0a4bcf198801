"""Faults of a soak, drawn by its seed: in series, and overlapping."""

import asyncio
import json
import signal

KINDS = ("kill", "pause", "restart", "kill_all", "store_busy", "store_reset", "store_silent",
         "store_slow", "answers_lost", "cut_up", "cut_down", "cut_off", "cut_reset", "link_slow",
         "machines_cut", "worker_crash", "worker_silent", "worker_grey", "orders_late", "config",
         "wave", "machines_slow")


class Fault:
    def __init__(self, kind, at_s, for_s, draw):
        self.kind, self.at_s, self.for_s, self.draw = kind, at_s, for_s, draw

    def __str__(self):
        return "%s at %.1f s for %.1f s" % (self.kind, self.at_s, self.for_s)


def draw_faults(random, seconds, count):
    """A wave early on, and `count` faults at any time, some of them twice in a row."""
    faults = [Fault("wave", random.uniform(0.5, 2.0), 10.0, random.random())]
    for _ in range(count):
        kind = random.choice(KINDS[:-1])
        at_s = random.uniform(0.5, seconds)
        faults.append(Fault(kind, at_s, random.uniform(0.5, 4.0), random.random()))
        if random.random() < 0.2:
            faults.append(Fault(kind, at_s + random.uniform(0.2, 2.0), 1.0, random.random()))
    return sorted(faults, key=lambda fault: fault.at_s)


class Injector:
    """Carries faults out on the parts of a soak, and takes them back."""

    def __init__(self, entries, store, fleet, write_config):
        self.entries, self.store, self.fleet = entries, store, fleet
        self.write_config = write_config
        self.waves = 0

    async def inject(self, fault):
        await asyncio.sleep(fault.at_s)
        await getattr(self, fault.kind)(fault)

    def _entry(self, fault):
        return self.entries[int(fault.draw * len(self.entries))]

    def _worker_machine(self, fault):
        living = [m for m in self.fleet.machines.values() if m.worker is not None]
        return living[int(fault.draw * len(living))] if living else None

    async def kill(self, fault):
        self._entry(fault).take_down(signal.SIGKILL, min(fault.for_s, 1.0))

    async def kill_all(self, _):
        for entry in self.entries:
            entry.take_down(signal.SIGKILL, 0.5)

    async def pause(self, fault):
        entry = self._entry(fault)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        entry.signal(signal.SIGCONT)

    async def restart(self, fault):
        self._entry(fault).take_down(signal.SIGTERM, 0.2)

    async def _store(self, mode, fault):
        self.store.mode = mode
        await asyncio.sleep(fault.for_s)
        self.store.mode = "up"

    async def store_busy(self, fault):
        await self._store("busy", fault)

    async def store_reset(self, fault):
        await self._store("reset", fault)

    async def store_silent(self, fault):
        await self._store("silent", fault)

    async def store_slow(self, fault):
        self.store.slow_s = 0.05 + 0.2 * fault.draw
        await asyncio.sleep(fault.for_s)
        self.store.slow_s = 0.0

    async def answers_lost(self, fault):
        self.store.lost_share = 0.3
        await asyncio.sleep(fault.for_s)
        self.store.lost_share = 0.0

    async def _link(self, link, mode, fault, delay_s=0.0):
        link.set_mode(mode, delay_s)
        await asyncio.sleep(fault.for_s)
        link.set_mode("pass")

    async def cut_up(self, fault):
        await self._link(self._entry(fault).store_link, "up", fault)

    async def cut_down(self, fault):
        await self._link(self._entry(fault).store_link, "down", fault)

    async def cut_off(self, fault):
        await self._link(self._entry(fault).store_link, "silent", fault)

    async def cut_reset(self, fault):
        await self._link(self._entry(fault).store_link, "reset", fault)

    async def link_slow(self, fault):
        await self._link(self._entry(fault).store_link, "delay", fault, 0.05 + 0.2 * fault.draw)

    async def machines_cut(self, fault):
        await self._link(self._entry(fault).machine_link, "silent", fault)

    async def machines_slow(self, fault):
        self.fleet.is_slow = True
        await asyncio.sleep(fault.for_s)
        self.fleet.is_slow = False

    async def worker_crash(self, fault):
        machine = self._worker_machine(fault)
        if machine is not None:
            self.fleet.crash(machine.name)

    async def _worker(self, fault, attribute, value, usual):
        machine = self._worker_machine(fault)
        if machine is None:
            return
        worker = machine.worker
        setattr(worker, attribute, value)
        await asyncio.sleep(fault.for_s)
        setattr(worker, attribute, usual)

    async def worker_silent(self, fault):
        await self._worker(fault, "is_silent", True, False)

    async def worker_grey(self, fault):
        await self._worker(fault, "fails_all", True, False)

    async def orders_late(self, fault):
        workers = self.fleet.workers()
        for worker in workers:
            worker.late_share = 0.1
        await asyncio.sleep(fault.for_s)
        for worker in workers:
            worker.late_share = 0.0

    async def config(self, _):
        await self.write_config()

    async def wave(self, fault):
        self.waves += 1
        names = sorted(self.fleet.machines)
        share = 0.3 + 0.4 * fault.draw
        chosen = names[:max(2, int(len(names) * share))]
        await self.fleet.request_wave(self.waves, chosen, 2 + int(fault.draw * 3), 10)


def config_text(version, pools, standby):
    routes = [{"name": pool, "host": "queues.example", "pathPrefix": "/%s/" % pool,
               "service": pool, "priority": 0, "maxAttempts": 4, "stretch": 2.0,
               "targetCompletionMs": 500} for pool in pools if pool != standby]
    services = [{"name": pool, "standby": pool == standby} for pool in pools]
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"maxBodyBytes": 262144}}).encode()
