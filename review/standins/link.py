"""A TCP proxy for the link of one process that can be cut one way."""

import asyncio

BLOCK_BYTES = 65536


class Link:
    """Forwards connections to `target`.

    While `is_cut`, what comes back from the target is lost, and no new connection is made; what the
    process sends on a connection that was open before arrives.
    """

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return "%s:%d" % self.server.sockets[0].getsockname()

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        other = None
        try:
            if self.is_cut:
                await reader.read()
                return
            host, port = self.target.rsplit(":", 1)
            other_reader, other = await asyncio.open_connection(host, int(port))
            self.writers.add(other)
            pumps = [asyncio.ensure_future(self._pump(reader, other, False)),
                     asyncio.ensure_future(self._pump(other_reader, writer, True))]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        except OSError:
            pass  # one side closed the connection
        finally:
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.transport.abort()

    async def _pump(self, reader, writer, is_returning):
        try:
            while True:
                block = await reader.read(BLOCK_BYTES)
                if not block:
                    return
                if not (is_returning and self.is_cut):
                    writer.write(block)
                    await writer.drain()
        except OSError:
            pass  # one side closed the connection

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
