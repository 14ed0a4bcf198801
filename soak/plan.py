"""Draws the faults of a soak from its seed and injects them; faults may repeat and overlap."""

import asyncio
import json
import random
import signal

from soak.odd_entries import odd_entries
from soak.processes import start_together

KINDS = ("kill", "pause", "restart", "kill_all", "store_busy", "store_reset", "store_silent",
         "store_slow", "answers_lost", "cut_up", "cut_down", "cut_off", "cut_reset", "link_slow",
         "machines_cut", "worker_crash", "worker_silent", "worker_grey", "orders_late", "config",
         "wave", "machines_slow")
# Share of the soaks in which another writer leaves odd entries among those of the workers.
ODD_ENTRIES_RATIO = 0.5
ODD_ENTRY_PAUSE_S = 0.1
ZONES = ("z0", "z1", "z2")
# Share of the soaks in which a zone is cut off during the traffic.
ZONE_CUT_RATIO = 0.6
# Share of the soaks in which, after the traffic, all processes start at the same moment and the
# zone of the owner is cut off.
COMMON_START_RATIO = 0.3
# From a common start until the zone is cut off, so that there is an owner that has polled workers.
CUT_AFTER_COMMON_START_S = 4.0
# An owner polls for up to 8 s after its last confirmed write, and a lease lasts 6 s: cuts may end
# in each phase of a takeover.
ZONE_CUT_MIN_S, ZONE_CUT_MAX_S = 4.0, 15.0
# Share of the zone cuts during which the store goes away for all processes.
STORE_LOSS_RATIO = 0.5
STORE_LOSS_MIN_S, STORE_LOSS_MAX_S = 2.0, 6.0
# From the end of a zone cut until the store is back. rules.WITHDRAWAL_GRACE_S relies on the sum of
# this time and the longest zone cut.
STORE_LOSS_AFTER_CUT_MAX_S = 2.0


# Share of the soaks in which the process that orders a machine is paused as its order arrives, for
# longer than an ownership is valid, so that the rest of its batch would follow a successor's orders.
ORDER_PAUSE_RATIO = 0.4
ORDER_PAUSE_MIN_S, ORDER_PAUSE_MAX_S = 4.0, 8.0
# A deployment without moves or waves sends no orders.
ORDER_TIMEOUT_S = 10.0


class Fault:
    def __init__(self, kind, start_s, duration_s, fraction):
        # `fraction` in [0, 1) selects the target or the strength of the fault.
        self.kind, self.start_s, self.duration_s, self.fraction = (
            kind, start_s, duration_s, fraction)

    def __str__(self):
        return "%s at %.1f s for %.1f s" % (self.kind, self.start_s, self.duration_s)


class ZoneCut(Fault):
    """A zone is cut off: that of the owner, or else the one selected by `fraction`."""

    def __init__(self, rng, start_s, of_owner):
        super().__init__("zone_cut", start_s, rng.uniform(ZONE_CUT_MIN_S, ZONE_CUT_MAX_S),
                         rng.random())
        self.of_owner = of_owner
        self.is_one_way = rng.random() < 0.5
        self.hides_workers = rng.random() < 0.5

    def __str__(self):
        return "%s of %s, %s, workers %s" % (
            super().__str__(), "the owner" if self.of_owner else "any zone",
            "one way" if self.is_one_way else "both ways",
            "hidden" if self.hides_workers else "listed")


def draw_faults(rng, seconds, count):
    """Draws an early wave and `count` faults at random times, some of which soon recur."""
    faults = [Fault("wave", rng.uniform(0.5, 2.0), 10.0, rng.random())]
    for _ in range(count):
        kind = rng.choice(KINDS[:-1])
        start_s = rng.uniform(0.5, seconds)
        faults.append(Fault(kind, start_s, rng.uniform(0.5, 4.0), rng.random()))
        if rng.random() < 0.2:
            faults.append(Fault(kind, start_s + rng.uniform(0.2, 2.0), 1.0, rng.random()))
    # Drawn last, so that the other faults of a seed stay the same.
    if rng.random() < ODD_ENTRIES_RATIO:
        faults.append(Fault("odd_entries", rng.uniform(0.5, seconds), 4.0, rng.random()))
    return sorted(faults, key=lambda fault: fault.start_s)


def draw_zone_cuts(seed, seconds):
    """Draws the zone cuts and common starts by a generator of their own, so that the other faults
    of a seed stay the same."""
    rng = random.Random("zone cuts of %s" % seed)
    faults = []
    if rng.random() < ZONE_CUT_RATIO:
        faults.append(ZoneCut(rng, rng.uniform(2.0, seconds), rng.random() < 0.5))
    if rng.random() < COMMON_START_RATIO:
        faults.append(Fault("common_start", seconds, 0.0, 0.0))
        faults.append(ZoneCut(rng, seconds + CUT_AFTER_COMMON_START_S, True))
    return faults


def draw_store_losses(seed, zone_cuts):
    """Draws for some of the zone cuts a loss of the store that starts while the zone is cut off and
    ends before or shortly after the zone is reachable again. Uses a generator of its own, so that
    the other faults of a seed stay the same."""
    rng = random.Random("store losses of %s" % seed)
    losses = []
    for cut in zone_cuts:
        if rng.random() >= STORE_LOSS_RATIO:
            continue
        kind = rng.choice(("store_busy", "store_reset", "store_silent"))
        start_s = cut.start_s + rng.uniform(0.0, 0.8) * cut.duration_s
        latest_end_s = cut.start_s + cut.duration_s + STORE_LOSS_AFTER_CUT_MAX_S
        duration_s = min(rng.uniform(STORE_LOSS_MIN_S, STORE_LOSS_MAX_S), latest_end_s - start_s)
        losses.append(Fault(kind, start_s, duration_s, rng.random()))
    return losses


def draw_order_pauses(seed, seconds):
    """Draws pauses at the moment of a batch of orders, the first one at that of the early wave. Uses
    a generator of its own, so that the other faults of a seed stay the same."""
    rng = random.Random("order pauses of %s" % seed)
    if rng.random() >= ORDER_PAUSE_RATIO:
        return []
    return [Fault("pause_at_order", start_s, rng.uniform(ORDER_PAUSE_MIN_S, ORDER_PAUSE_MAX_S),
                  rng.random())
            for start_s in (0.0, rng.uniform(0.0, seconds))]


class Injector:
    """Injects faults into the processes, store and machines of a soak, and reverts them.

    Each fault kind is handled by the method of the same name.
    """

    def __init__(self, entries, store, fleet, write_config):
        self.entries, self.store, self.fleet = entries, store, fleet
        self.write_config = write_config
        self.waves = 0
        self.store_modes = []  # of the store faults in force, the newest last

    async def inject(self, fault):
        await asyncio.sleep(fault.start_s)
        await getattr(self, fault.kind)(fault)

    def _chosen_entry(self, fault):
        return self.entries[int(fault.fraction * len(self.entries))]

    def _chosen_machine(self, fault):
        running = [m for m in self.fleet.machines.values() if m.worker is not None]
        return running[int(fault.fraction * len(running))] if running else None

    async def kill(self, fault):
        self._chosen_entry(fault).stop_for(signal.SIGKILL, min(fault.duration_s, 1.0))

    async def kill_all(self, _):
        for entry in self.entries:
            entry.stop_for(signal.SIGKILL, 0.5)

    async def common_start(self, _):
        await start_together(self.entries)

    def _zone_of_owner(self):
        """Returns the zone of the newest owner in the ownership log, or None."""
        record = self.store.topic("keyed.poplar-owner").latest().get("owner")
        name = json.loads(record[0])["owner"] if record else None
        return next((entry.zone for entry in self.entries if entry.name == name), None)

    async def zone_cut(self, fault):
        zone = (fault.of_owner and self._zone_of_owner()) or ZONES[int(fault.fraction * len(ZONES))]
        self.fleet.zone_cuts.active.append((zone, fault))
        self.fleet.history.add("zone-cut", zone=zone, fault=str(fault))
        await asyncio.sleep(fault.duration_s)
        self.fleet.zone_cuts.active.remove((zone, fault))
        self.fleet.history.add("zone-reachable", zone=zone)

    async def pause(self, fault):
        entry = self._chosen_entry(fault)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        entry.signal(signal.SIGCONT)

    async def pause_at_order(self, fault):
        """Pauses the process whose order for a machine arrives next; another wave soon follows."""
        try:
            name = await asyncio.wait_for(self.fleet.next_order(), ORDER_TIMEOUT_S)
        except asyncio.TimeoutError:
            return
        entry = next(entry for entry in self.entries if entry.name == name)
        entry.signal(signal.SIGSTOP)
        self.fleet.history.add("paused-at-order", holder=name)
        await self.wave(fault)
        await asyncio.sleep(fault.duration_s)
        entry.signal(signal.SIGCONT)

    async def restart(self, fault):
        self._chosen_entry(fault).stop_for(signal.SIGTERM, 0.2)

    async def _set_store_mode(self, mode, fault):
        # The end of one fault must not end another one that overlaps it.
        applied = (mode, fault)
        self.store_modes.append(applied)
        self.store.mode = mode
        await asyncio.sleep(fault.duration_s)
        self.store_modes.remove(applied)
        self.store.mode = self.store_modes[-1][0] if self.store_modes else "up"

    async def store_busy(self, fault):
        await self._set_store_mode("busy", fault)

    async def store_reset(self, fault):
        await self._set_store_mode("reset", fault)

    async def store_silent(self, fault):
        await self._set_store_mode("silent", fault)

    async def store_slow(self, fault):
        self.store.request_delay_s = 0.05 + 0.2 * fault.fraction
        await asyncio.sleep(fault.duration_s)
        self.store.request_delay_s = 0.0

    async def answers_lost(self, fault):
        self.store.lost_response_ratio = 0.3
        await asyncio.sleep(fault.duration_s)
        self.store.lost_response_ratio = 0.0

    async def _set_link_mode(self, link, mode, fault, delay_s=0.0):
        link.set_mode(mode, delay_s)
        await asyncio.sleep(fault.duration_s)
        link.set_mode("pass")

    async def cut_up(self, fault):
        await self._set_link_mode(self._chosen_entry(fault).store_link, "up", fault)

    async def cut_down(self, fault):
        await self._set_link_mode(self._chosen_entry(fault).store_link, "down", fault)

    async def cut_off(self, fault):
        await self._set_link_mode(self._chosen_entry(fault).store_link, "silent", fault)

    async def cut_reset(self, fault):
        await self._set_link_mode(self._chosen_entry(fault).store_link, "reset", fault)

    async def link_slow(self, fault):
        await self._set_link_mode(self._chosen_entry(fault).store_link, "delay", fault,
                                  0.05 + 0.2 * fault.fraction)

    async def machines_cut(self, fault):
        await self._set_link_mode(self._chosen_entry(fault).machine_link, "silent", fault)

    async def machines_slow(self, fault):
        self.fleet.is_slow = True
        await asyncio.sleep(fault.duration_s)
        self.fleet.is_slow = False

    async def worker_crash(self, fault):
        machine = self._chosen_machine(fault)
        if machine is not None:
            self.fleet.crash(machine.name)

    async def _set_worker_attribute(self, fault, attribute, value, normal_value):
        machine = self._chosen_machine(fault)
        if machine is None:
            return
        worker = machine.worker
        setattr(worker, attribute, value)
        await asyncio.sleep(fault.duration_s)
        setattr(worker, attribute, normal_value)

    async def worker_silent(self, fault):
        await self._set_worker_attribute(fault, "is_silent", True, False)

    async def worker_grey(self, fault):
        await self._set_worker_attribute(fault, "fails_all", True, False)

    async def odd_entries(self, fault):
        """Each odd entry is left under a key of its own and once under the id of a worker."""
        for number, entry in enumerate(odd_entries()):
            await self.store.put("keyed.servers", "odd-%d" % number, entry)
            machine = self._chosen_machine(fault)
            if machine is not None:
                await self.store.put("keyed.servers", machine.worker.id, entry)
            await asyncio.sleep(ODD_ENTRY_PAUSE_S)

    async def orders_late(self, fault):
        workers = self.fleet.workers()
        for worker in workers:
            worker.late_command_ratio = 0.1
        await asyncio.sleep(fault.duration_s)
        for worker in workers:
            worker.late_command_ratio = 0.0

    async def config(self, _):
        await self.write_config()

    async def change_keys(self, accounts, times):
        start_s = 0.0
        for at_s in sorted(times):
            await asyncio.sleep(at_s - start_s)
            start_s = at_s
            accounts.change_a_key()
            await self.write_config()

    async def wave(self, fault):
        self.waves += 1
        names = sorted(self.fleet.machines)
        machine_ratio = 0.3 + 0.4 * fault.fraction
        machines = names[:max(2, int(len(names) * machine_ratio))]
        await self.fleet.request_wave(self.waves, machines, 2 + int(fault.fraction * 3), 10)


def config_text(version, pools, standby, accounts):
    """`accounts` are the rows of the accounts; without any the configuration has none."""
    routes = [{"name": pool, "host": "queues.example", "pathPrefix": "/%s/" % pool,
               "service": pool, "priority": 0, "maxAttempts": 4, "stretch": 2.0,
               "targetCompletionMs": 500} for pool in pools if pool != standby]
    services = [{"name": pool, "standby": pool == standby} for pool in pools]
    configuration = {"version": version, "routes": routes, "services": services,
                     "limits": {"maxBodyBytes": 262144}}
    if accounts:
        configuration["tenants"] = accounts
    return json.dumps(configuration).encode()
