"""A TCP proxy on loopback that delays, silences, cuts one way or resets what passes through it."""

import asyncio
import socket
import struct

BLOCK = 65536
POLL_S = 0.02


class Proxy:
    """Passes connections on to `target`. `mode` may change at any time:

    pass; delay (each block by `delay_s`); silent (nothing passes); up, down (only that way is cut);
    reset (connections are reset, new ones too). Whatever was cut is reset when the mode ends.
    """

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0
        self.connections = set()
        self.server = None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._accept, host, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()

    def set_mode(self, mode, delay_s=0.0):
        was_cut = self.mode in ("silent", "up", "down")
        self.mode, self.delay_s = mode, delay_s
        if mode == "reset" or was_cut:
            for writer in list(self.connections):
                _reset(writer)

    async def _accept(self, reader, writer):
        self.connections.add(writer)
        upstream = None
        try:
            if self.mode == "reset":
                return
            host, port = self.target.rsplit(":", 1)
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            self.connections.add(upstream)
            await asyncio.gather(self._pump(reader, upstream, "up"),
                                 self._pump(upstream_reader, writer, "down"))
        except OSError:
            pass  # the other side ended the connection, which is passed on below
        finally:
            for each in (writer, upstream):
                if each is not None:
                    self.connections.discard(each)
                    _reset(each)

    async def _pump(self, reader, writer, way):
        while True:
            block = await reader.read(BLOCK)
            while self.mode in ("silent", way):
                await asyncio.sleep(POLL_S)
            if self.mode == "delay":
                await asyncio.sleep(self.delay_s)
            if not block:
                writer.close()
                return
            writer.write(block)
            await writer.drain()


def _reset(writer):
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
