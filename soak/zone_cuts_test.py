"""Checks which connections a zone cut holds back, and that their clients are told apart."""

import asyncio
import os
import socket
import types
import unittest
import unittest.mock

from soak import plan
from soak.proxy import Proxy
from soak.zone_cuts import PLATFORM, ZoneCuts, find_process

RESPONSE_TIMEOUT_S = 2.0
REAL_SLEEP = asyncio.sleep
HELD_S = 0.3  # within which a connection that is not cut responds


def cut(is_one_way, hides_workers=False):
    return types.SimpleNamespace(is_one_way=is_one_way, hides_workers=hides_workers)


class Modes(unittest.TestCase):
    def test_cut_both_ways(self):
        cuts = ZoneCuts()
        cuts.active.append(("z1", cut(False)))
        self.assertEqual(cuts.mode("z1", "z1"), "pass")
        self.assertEqual(cuts.mode("z0", "z2"), "pass")
        for source, target in (("z1", "z0"), ("z0", "z1"), ("z1", PLATFORM), (None, "z1")):
            self.assertEqual(cuts.mode(source, target), "silent")

    def test_one_way_cut_lets_requests_out_and_nothing_in(self):
        cuts = ZoneCuts()
        cuts.active.append(("z1", cut(True)))
        self.assertEqual(cuts.mode("z1", PLATFORM), "down")
        self.assertEqual(cuts.mode("z1", "z0"), "down")
        self.assertEqual(cuts.mode("z0", "z1"), "up")
        self.assertEqual(cuts.mode("z1", "z1"), "pass")

    def test_overlapping_cuts(self):
        cuts = ZoneCuts()
        one_way, both_ways = cut(True), cut(False, hides_workers=True)
        cuts.active += [("z1", one_way), ("z1", both_ways)]
        self.assertEqual(cuts.mode("z1", PLATFORM), "silent")
        self.assertTrue(cuts.hides_workers("z1"))
        self.assertFalse(cuts.hides_workers("z0"))
        cuts.active.remove(("z1", both_ways))
        self.assertEqual(cuts.mode("z1", PLATFORM), "down")
        self.assertFalse(cuts.hides_workers("z1"))


class Processes(unittest.TestCase):
    """Guards against a cut that misses a connection, since a closed one has used its port before."""

    HEADER = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid\n"
    ROW = "%4d: 0100007F:%04X 0100007F:1F90 %02X 00000000:00000000 00:00000000 00000000 0 0 %s 1\n"
    ESTABLISHED, TIME_WAIT = 1, 6

    def find(self, rows):
        table = self.HEADER + "".join(
            self.ROW % (number, *row) for number, row in enumerate(rows))
        with unittest.mock.patch("soak.zone_cuts.open", unittest.mock.mock_open(read_data=table),
                                 create=True):
            return find_process(40000, [os.getpid()])

    def test_closed_connections_of_the_port_are_passed_over(self):
        with socket.socket() as connection:
            inode = os.fstat(connection.fileno()).st_ino
            live = (40000, self.ESTABLISHED, inode)
            closed = (40000, self.TIME_WAIT, 0)
            for rows in ([live], [closed, live], [live, closed], [closed, closed, live]):
                self.assertEqual(self.find(rows), os.getpid())
            for rows in ([], [closed], [(40001, self.ESTABLISHED, inode)]):
                self.assertIsNone(self.find(rows))


class Connections(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received = []
        self.cuts = ZoneCuts()
        echo = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addCleanup(echo.close)
        self.link = Proxy("%s:%d" % echo.sockets[0].getsockname(), self.route)
        self.host, port = (await self.link.start()).split(":")
        self.port = int(port)
        self.addCleanup(self.link.server.close)

    async def echo(self, reader, writer):
        try:
            while block := await reader.read(100):
                self.received.append(block)
                writer.write(block)
        except ConnectionResetError:
            pass  # the proxy resets what a cut has held back

    def route(self, port):
        """This process counts as one of z1, any other as one of no zone."""
        source = "z1" if find_process(port, [os.getpid()]) is not None else None
        return lambda: self.cuts.mode(source, "z0" if self.is_elsewhere else "z1")

    async def exchange(self, is_elsewhere):
        self.is_elsewhere = is_elsewhere
        reader, writer = await asyncio.open_connection(self.host, self.port)
        self.addCleanup(writer.close)
        writer.write(b"request")
        return reader

    async def test_responses_are_held_and_lost(self):
        self.cuts.active.append(("z1", cut(True)))
        reader = await self.exchange(is_elsewhere=True)
        with self.assertRaises(asyncio.TimeoutError):
            await asyncio.wait_for(reader.read(100), HELD_S)
        self.assertEqual(self.received, [b"request"])
        self.cuts.active.clear()
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.read(100), RESPONSE_TIMEOUT_S)

    async def test_connections_within_the_zone_pass(self):
        self.cuts.active.append(("z1", cut(False)))
        reader = await self.exchange(is_elsewhere=False)
        self.assertEqual(await asyncio.wait_for(reader.read(100), RESPONSE_TIMEOUT_S), b"request")

    async def test_connections_to_another_zone_are_held(self):
        self.cuts.active.append(("z1", cut(False)))
        reader = await self.exchange(is_elsewhere=True)
        with self.assertRaises(asyncio.TimeoutError):
            await asyncio.wait_for(reader.read(100), HELD_S)
        self.assertEqual(self.received, [])


class StoreLosses(unittest.TestCase):
    """Guards against soaks that never lose the store while a zone is cut off."""

    def test_start_during_a_zone_cut_and_end_soon_after_it(self):
        lost = 0
        for seed in range(200):
            cuts = [fault for fault in plan.draw_zone_cuts(seed, 12.0)
                    if isinstance(fault, plan.ZoneCut)]
            losses = plan.draw_store_losses(seed, cuts)
            self.assertLessEqual(len(losses), len(cuts))
            for loss in losses:
                during = [cut for cut in cuts if cut.start_s <= loss.start_s
                          < cut.start_s + cut.duration_s]
                self.assertTrue(during)
                end_s = max(cut.start_s + cut.duration_s for cut in during)
                self.assertLessEqual(loss.start_s + loss.duration_s,
                                     end_s + plan.STORE_LOSS_AFTER_CUT_MAX_S + 1e-6)
            lost += bool(losses)
        self.assertGreater(lost, 50)

    def test_end_of_one_store_fault_keeps_an_overlapping_one(self):
        store = types.SimpleNamespace(mode="up")
        injector = plan.Injector([], store, None, None)
        waits = {}

        async def play():
            async def wait(duration_s):
                waits[duration_s] = asyncio.get_running_loop().create_future()
                await waits[duration_s]
            with unittest.mock.patch.object(plan.asyncio, "sleep", wait):
                long = asyncio.ensure_future(
                    injector.store_silent(plan.Fault("store_silent", 0.0, 6.0, 0.0)))
                short = asyncio.ensure_future(
                    injector.store_busy(plan.Fault("store_busy", 0.0, 1.0, 0.0)))
                while len(waits) < 2:
                    await REAL_SLEEP(0)
                self.assertEqual(store.mode, "busy")
                waits[1.0].set_result(None)
                await short
                self.assertEqual(store.mode, "silent")
                waits[6.0].set_result(None)
                await long
                self.assertEqual(store.mode, "up")

        asyncio.run(play())


if __name__ == "__main__":
    unittest.main()
