"""HTTP/1.1 server and client of the review's stand-ins, with the Python standard library alone."""

import asyncio
import json
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method, self.path = method, parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers, self.body = headers, body

    def json(self):
        return json.loads(self.body)


def json_response(body, status=200):
    return status, json.dumps(body).encode(), "application/json"


async def read_message(reader):
    """Returns the first line, the headers with lower-case names, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    return head[0], headers, await reader.readexactly(size) if size else b""


class Server:
    """Calls `handle` with each request; without a response it closes the connection."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, host, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                response = await self.handle(Request(method, target, headers, body))
                if response is None:
                    break
                status, content, kind = response
                writer.write(b"HTTP/1.1 %d -\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                             % (status, kind.encode(), len(content)) + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the peer closed the connection
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, body=b"", headers=None, timeout_s=3.0):
    """Returns status and body, or (None, None) without a complete response in time."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = {"Host": address, "Content-Length": str(len(body)), **(headers or {})}
        head = "".join("%s: %s\r\n" % field for field in fields.items())
        writer.write(("%s %s HTTP/1.1\r\n%s\r\n" % (method, target, head)).encode() + body)
        await writer.drain()
        line, _, content = await read_message(reader)
        return int(line.split(" ")[1]), content

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, None
    finally:
        if writer is not None:
            writer.transport.abort()
