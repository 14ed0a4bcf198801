"""A small HTTP/1.1 server and client on loopback, of the standard library only."""

import asyncio
import json


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)

    def json(self):
        return json.loads(self.body)


class Drop(Exception):
    """Raised by a handler that sends no response: the connection is closed."""


def encode(status, body):
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    return (b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (status, len(content))) + content


async def _read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return head[0], headers, body


async def serve(handler, host="127.0.0.1", port=0):
    """Starts a server; `handler(request)` returns (status, body). Returns the server, its address."""
    async def converse(reader, writer):
        try:
            while True:
                line, headers, body = await _read_message(reader)
                method, target, _ = line.split(" ", 2)
                status, content = await handler(Request(method, target, headers, body))
                writer.write(encode(status, content))
                await writer.drain()
        except (Drop, OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass  # the other side has gone, or gets no response
        except asyncio.CancelledError:
            pass
        finally:
            writer.transport.abort()
    server = await asyncio.start_server(converse, host, port, limit=1 << 22)
    return server, "%s:%d" % server.sockets[0].getsockname()[:2]


async def request(address, method, target, body=None, headers=None, timeout=3.0):
    """Returns (status, parsed body), or (None, None) without a response in time."""
    async def converse():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            content = b"" if body is None else json.dumps(body).encode()
            lines = ["%s %s HTTP/1.1" % (method, target), "Content-Length: %d" % len(content)]
            lines += ["%s: %s" % item for item in {"Host": address, **(headers or {})}.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            line, _, answer = await _read_message(reader)
            return int(line.split(" ")[1]), json.loads(answer) if answer else None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(converse(), timeout)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, None
