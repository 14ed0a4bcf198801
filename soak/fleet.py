"""Stand-in of the machines: pools, moves, upkeep, and the workers that live on them."""

import asyncio
import json

from aiohttp import web

from soak.proxy import Proxy
from soak.serving import serve
from soak.workers import HEARTBEAT_S, Worker

MIGRATION_S = 0.6
MAINTENANCE_S = 0.6
BACK_AFTER_CRASH_S = 1.5
LAPSE_AFTER_S = 3 * HEARTBEAT_S


class Machine:
    def __init__(self, name, pool, zone):
        self.name, self.pool, self.zone = name, pool, zone
        self.state = "up"
        self.worker = None
        self.link = None
        self.runner = None
        self.wave = None  # the last one that it had its upkeep for
        self.lives = 0


class Fleet:
    def __init__(self, store, history, work, seed, pools, standby):
        """`pools` maps the name of a pool to the number of its machines."""
        self.store, self.history, self.work, self.seed = store, history, work, seed
        self.standby = standby
        self.machines = {}
        self.waves = {}  # number -> cap
        self.is_slow = False
        self.begun = {}  # wave -> names of machines
        for pool, count in pools.items():
            for _ in range(count):
                name = "m%d" % (len(self.machines) + 1)
                self.machines[name] = Machine(name, pool, "z%d" % (len(self.machines) % 3))
        self.app = web.Application()
        self.app.router.add_get("/machines", self._list)
        self.app.router.add_post("/machine-move", self._move)
        self.app.router.add_post("/machine-upkeep", self._upkeep)
        self.tasks = set()

    async def start(self):
        for machine in self.machines.values():
            await self._live(machine)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def workers(self):
        return [m.worker for m in self.machines.values() if m.worker is not None]

    async def _live(self, machine):
        """Begins a new life of the machine, unless its pool is off."""
        machine.state = "up"
        if machine.pool == self.standby:
            return
        machine.lives += 1
        identity = "%s-life%d" % (machine.name, machine.lives)
        worker = Worker(identity, machine.name, machine.pool, self.history, self.work,
                        "%s/%s" % (self.seed, identity))
        runner, own_address = await serve(worker.app)
        link = Proxy(own_address)
        address = await link.start()
        machine.worker, machine.link, machine.runner = worker, link, runner
        self.history.add("life", worker=identity, machine=machine.name, service=machine.pool)
        self.spawn(self._beat(machine, worker, address))

    async def _beat(self, machine, worker, address):
        sequence = 0
        while worker.is_alive:
            sequence += 1
            await self.store.put("keyed.servers", worker.id,
                                 worker.entry(address, machine.zone, sequence))
            await asyncio.sleep(HEARTBEAT_S)

    def _end_life(self, machine, how):
        worker, machine.worker = machine.worker, None
        if worker is None:
            return
        worker.die(how)
        self.spawn(self._bury(worker, machine.runner, machine.link, how))

    async def _bury(self, worker, runner, link, how):
        link.set_mode("reset")
        if how == "crashed":
            await asyncio.sleep(LAPSE_AFTER_S)
        await self.store.put("keyed.servers", worker.id, None)
        link.server.close()
        await runner.cleanup()

    def crash(self, name):
        machine = self.machines[name]
        if machine.worker is not None and machine.state == "up":
            machine.state = "down"
            self._end_life(machine, "crashed")
            self.spawn(self._return(machine, BACK_AFTER_CRASH_S))

    async def _return(self, machine, after_s):
        await asyncio.sleep(after_s)
        await self._live(machine)

    async def _list(self, _):
        rows = []
        for machine in self.machines.values():
            row = {"machine": machine.name, "pool": machine.pool, "state": machine.state,
                   "zone": machine.zone, "labels": ["plain", "rack-" + machine.zone],
                   "capacity": {"cpu": 4000, "memMb": 8000, "gpu": 0}}
            if machine.worker is not None:
                row["id"] = machine.worker.id
            rows.append(row)
        return web.json_response({"machines": rows})

    def _note_order(self, request, machine, what):
        holder = request.headers["X-Lease-Holder"]
        token = int(request.headers["X-Fencing-Token"])
        self.history.add("machine-order", machine=machine.name, holder=holder, token=token,
                         order=what)

    async def _move(self, request):
        if self.is_slow:
            await asyncio.sleep(1.0)
        body = await request.json()
        machine = self.machines.get(body["machine"])
        if machine is None:
            return web.json_response({}, status=400)
        self._note_order(request, machine, "move")
        if machine.pool == body["pool"]:
            return web.json_response({})
        if machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        machine.state = "moving"
        self._end_life(machine, "moved")
        machine.pool = body["pool"]
        self.spawn(self._return(machine, MIGRATION_S))
        return web.json_response({})

    async def _upkeep(self, request):
        if self.is_slow:
            await asyncio.sleep(1.0)
        body = await request.json()
        machine, wave = self.machines.get(body["machine"]), body["wave"]
        if machine is None:
            return web.json_response({}, status=400)
        self._note_order(request, machine, "upkeep")
        if machine.name in self.begun.get(wave, ()):
            return web.json_response({})
        if machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        if machine.name not in self.waves.get(wave, ((), 0))[0]:
            return web.json_response({"reason": "wave"}, status=409)
        self.begun.setdefault(wave, set()).add(machine.name)
        away = sum(m.state == "upkeep" and m.wave == wave for m in self.machines.values())
        self.history.add("upkeep", machine=machine.name, wave=wave, away=away,
                         cap=self.waves[wave][1])
        machine.state, machine.wave = "upkeep", wave
        self._end_life(machine, "upkeep")
        self.spawn(self._return(machine, MAINTENANCE_S))
        return web.json_response({})

    async def request_wave(self, number, names, cap, duration_s):
        self.waves[number] = (set(names), cap)
        self.history.add("wave", wave=number, machines=sorted(names), cap=cap)
        await self.store.put("keyed.op", "wave/%d" % number, json.dumps(
            {"wave": number, "machines": sorted(names), "durationS": duration_s,
             "cap": cap}).encode())
