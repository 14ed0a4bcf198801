"""TCP proxy on loopback that can delay, drop, cut one direction of or reset its connections."""

import asyncio
import socket
import struct

BLOCK_BYTES = 65536
MODE_POLL_INTERVAL_S = 0.02


class Proxy:
    """Forwards connections to `target`. `mode` may change at any time:

    pass: forwards everything
    delay: delays each block by `delay_s`
    silent: forwards nothing
    up, down: forwards nothing in that direction
    reset: resets open and new connections

    Connections that were open in mode silent, up or down are reset when the mode changes.
    `route` takes the client's port and returns a function that returns the mode by which zone
    cuts restrict that connection. A connection that they have held back is reset afterwards.
    """

    def __init__(self, target, route):
        self.target = target
        self.route = route
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
        cut_mode = self.route(writer.get_extra_info("peername")[1])
        upstream = None
        try:
            if self.mode == "reset":
                return
            host, port = self.target.rsplit(":", 1)
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            self.connections.add(upstream)
            await asyncio.gather(self._pump(reader, upstream, "up", cut_mode),
                                 self._pump(upstream_reader, writer, "down", cut_mode))
        except OSError:
            pass  # one side closed or reset the connection; the other one is reset below
        finally:
            for end in (writer, upstream):
                if end is not None:
                    self.connections.discard(end)
                    _reset(end)

    async def _pump(self, reader, writer, direction, cut_mode):
        while True:
            block = await reader.read(BLOCK_BYTES)
            is_held = False
            while cut_mode() in ("silent", direction):
                is_held = True
                await asyncio.sleep(MODE_POLL_INTERVAL_S)
            if is_held:
                raise ConnectionResetError
            while self.mode in ("silent", direction):
                await asyncio.sleep(MODE_POLL_INTERVAL_S)
            if self.mode == "delay":
                await asyncio.sleep(self.delay_s)
            if not block:
                writer.close()
                return
            writer.write(block)
            await writer.drain()


def _reset(writer):
    tcp_socket = writer.get_extra_info("socket")
    if tcp_socket is not None and not writer.is_closing():
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
