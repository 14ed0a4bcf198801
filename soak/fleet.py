"""Simulated machines: pools, moves, maintenance, and the workers that run on them."""

import asyncio
import functools
import json

from aiohttp import web

from soak.proxy import Proxy
from soak.serving import serve
from soak.workers import HEARTBEAT_S, Worker
from soak.zone_cuts import PLATFORM, ZoneCuts

MIGRATION_S = 0.6
MAINTENANCE_S = 0.6
CRASH_RESTART_DELAY_S = 1.5
HEARTBEAT_TIMEOUT_S = 3 * HEARTBEAT_S


class Machine:
    def __init__(self, name, pool, zone):
        self.name, self.pool, self.zone = name, pool, zone
        self.state = "up"
        self.worker = None
        self.link = None
        self.runner = None
        self.wave = None  # the latest wave that maintained this machine
        self.incarnations = 0


class Fleet:
    def __init__(self, store, history, describe_task, seed, pools, standby, client_zone):
        """`pools` maps pool names to numbers of machines; no workers run in pool `standby`.

        `client_zone` returns the zone of the process that connects from a local port.
        """
        self.store, self.history, self.describe_task, self.seed = (
            store, history, describe_task, seed)
        self.standby, self.client_zone = standby, client_zone
        self.zone_cuts = ZoneCuts()
        self.machines = {}
        self.waves = {}  # wave -> (machine names, cap)
        self.is_slow = False
        self.maintained = {}  # wave -> names of the machines whose maintenance has started
        self.order_waiters = []  # futures of next_order()
        for pool, count in pools.items():
            for _ in range(count):
                name = "m%d" % (len(self.machines) + 1)
                self.machines[name] = Machine(name, pool, "z%d" % (len(self.machines) % 3))
        self.app = web.Application()
        self.app.router.add_get("/machines", self._list)
        self.app.router.add_post("/machine-move", self._move)
        self.app.router.add_post("/machine-upkeep", self._maintain)
        self.tasks = set()

    async def start(self):
        for machine in self.machines.values():
            await self._start_incarnation(machine)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def workers(self):
        return [m.worker for m in self.machines.values() if m.worker is not None]

    async def _start_incarnation(self, machine):
        """Starts a new worker incarnation, unless the machine is in the standby pool."""
        machine.state = "up"
        if machine.pool == self.standby:
            return
        machine.incarnations += 1
        worker_id = "%s-life%d" % (machine.name, machine.incarnations)
        worker = Worker(worker_id, machine.name, machine.pool, self.history, self.describe_task,
                        "%s/%s" % (self.seed, worker_id))
        runner, worker_address = await serve(worker.app)
        link = Proxy(worker_address, self._route_to(machine.zone))
        address = await link.start()
        machine.worker, machine.link, machine.runner = worker, link, runner
        self.history.add("life", worker=worker_id, machine=machine.name, service=machine.pool)
        self.spawn(self._send_heartbeats(machine, worker, address))

    def _route_to(self, zone):
        def route(port):
            # Looked up during cuts only, since the lookup reads the tables of all connections.
            source = functools.cache(lambda: self.client_zone(port))
            return lambda: self.zone_cuts.mode(source(), zone) if self.zone_cuts.active else "pass"
        return route

    def _reaches_store(self, machine):
        return self.zone_cuts.mode(machine.zone, PLATFORM) != "silent"

    async def _send_heartbeats(self, machine, worker, address):
        sequence, silent_s = 0, 0.0
        while worker.is_alive:
            sequence += 1
            if self._reaches_store(machine):
                silent_s = 0.0
                await self.store.put("keyed.servers", worker.id,
                                     worker.server_entry(address, machine.zone, sequence))
            else:
                silent_s += HEARTBEAT_S
                if silent_s == HEARTBEAT_TIMEOUT_S:
                    await self.store.put("keyed.servers", worker.id, None)
            await asyncio.sleep(HEARTBEAT_S)

    def _end_incarnation(self, machine, result):
        worker, machine.worker = machine.worker, None
        if worker is None:
            return
        worker.shut_down(result)
        self.spawn(self._deregister_worker(worker, machine, machine.runner, machine.link, result))

    async def _deregister_worker(self, worker, machine, runner, link, result):
        link.set_mode("reset")
        if result == "crashed" or not self._reaches_store(machine):
            await asyncio.sleep(HEARTBEAT_TIMEOUT_S)
        await self.store.put("keyed.servers", worker.id, None)
        link.server.close()
        await runner.cleanup()

    def crash(self, name):
        machine = self.machines[name]
        if machine.worker is not None and machine.state == "up":
            machine.state = "down"
            self._end_incarnation(machine, "crashed")
            self.spawn(self._restart_after(machine, CRASH_RESTART_DELAY_S))

    async def _restart_after(self, machine, delay_s):
        await asyncio.sleep(delay_s)
        await self._start_incarnation(machine)

    async def _list(self, _):
        rows = []
        for machine in self.machines.values():
            row = {"machine": machine.name, "pool": machine.pool, "state": machine.state,
                   "zone": machine.zone, "labels": ["plain", "rack-" + machine.zone],
                   "capacity": {"cpu": 4000, "memMb": 8000, "gpu": 0}}
            if machine.worker is not None and not self.zone_cuts.hides_workers(machine.zone):
                row["id"] = machine.worker.id
            rows.append(row)
        return web.json_response({"machines": rows})

    def _record_command(self, request, machine, command):
        holder = request.headers["X-Lease-Holder"]
        token = int(request.headers["X-Fencing-Token"])
        self.history.add("machine-order", machine=machine.name, holder=holder, token=token,
                         order=command)
        for waiting in self.order_waiters:
            if not waiting.done():
                waiting.set_result(holder)
        self.order_waiters.clear()

    async def next_order(self):
        """Waits for an order and returns the name of its sender."""
        waiting = asyncio.get_running_loop().create_future()
        self.order_waiters.append(waiting)
        return await waiting

    async def _move(self, request):
        if self.is_slow:
            await asyncio.sleep(1.0)
        body = await request.json()
        machine = self.machines.get(body["machine"])
        if machine is None:
            return web.json_response({}, status=400)
        self._record_command(request, machine, "move")
        if machine.pool == body["pool"]:
            return web.json_response({})
        if machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        machine.state = "moving"
        self._end_incarnation(machine, "moved")
        machine.pool = body["pool"]
        self.spawn(self._restart_after(machine, MIGRATION_S))
        return web.json_response({})

    async def _maintain(self, request):
        if self.is_slow:
            await asyncio.sleep(1.0)
        body = await request.json()
        machine, wave = self.machines.get(body["machine"]), body["wave"]
        if machine is None:
            return web.json_response({}, status=400)
        self._record_command(request, machine, "upkeep")
        if machine.name in self.maintained.get(wave, ()):
            return web.json_response({})
        if machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        if machine.name not in self.waves.get(wave, ((), 0))[0]:
            return web.json_response({"reason": "wave"}, status=409)
        self.maintained.setdefault(wave, set()).add(machine.name)
        away = sum(m.state == "upkeep" and m.wave == wave for m in self.machines.values())
        self.history.add("upkeep", machine=machine.name, wave=wave, away=away,
                         cap=self.waves[wave][1])
        machine.state, machine.wave = "upkeep", wave
        self._end_incarnation(machine, "upkeep")
        self.spawn(self._restart_after(machine, MAINTENANCE_S))
        return web.json_response({})

    async def request_wave(self, number, names, cap, duration_s):
        self.waves[number] = (set(names), cap)
        self.history.add("wave", wave=number, machines=sorted(names), cap=cap)
        await self.store.put("keyed.op", "wave/%d" % number, json.dumps(
            {"wave": number, "machines": sorted(names), "durationS": duration_s,
             "cap": cap}).encode())
