"""A small HTTP/1.1 server and client on asyncio, for stand-ins on loopback."""

import asyncio
import json
import urllib.parse

ABORT = object()  # as the result of a handler: the connection is reset without a response

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


class Request:
    def __init__(self, method, target, headers, body):
        path, _, query = target.partition("?")
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns the first line, the headers with lower-case names, and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if int(headers.get("content-length", 0)) > 0:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


class Server:
    """Calls `handle(request)` for each request. It returns (status, JSON value or bytes) or ABORT."""

    def __init__(self, handle, host="127.0.0.1"):
        self.handle, self.host = handle, host
        self.server, self.transports, self.tasks = None, set(), set()

    async def start(self):
        """Listens on a free port and returns the address."""
        self.server = await asyncio.start_server(self._serve, self.host, 0, limit=8 << 20)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.transports.add(writer.transport)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                result = await self.handle(Request(method, target, message[1], message[2]))
                if result is ABORT:
                    writer.transport.abort()
                    return
                status, content = result
                is_json = not isinstance(content, bytes)
                body = json.dumps(content).encode() if is_json else content
                writer.write(("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (
                    status, REASONS.get(status, "Status"),
                    "application/json" if is_json else "application/octet-stream",
                    len(body))).encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            self.transports.discard(writer.transport)
            writer.close()

    def abort(self):
        """Ends as a killed process does: nothing listens, and all connections are reset."""
        if self.server is not None:
            self.server.close()
        for transport in list(self.transports):
            transport.abort()
        for task in list(self.tasks):
            task.cancel()


async def call(address, method, target, headers=(), value=None, timeout_s=3.0):
    """Returns (status, body) of one call on a connection of its own, or (None, the cause)."""
    host, _, port = address.rpartition(":")
    body = b"" if value is None else json.dumps(value).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = ["%s %s HTTP/1.1" % (method, target), "Content-Length: %d" % len(body),
                     "Content-Type: application/json", "Connection: close"]
            lines += ["%s: %s" % header for header in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "no response"
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError) as error:
        return None, type(error).__name__
