"""Stand-in of the platform's store: keyed logs with conditions, producers and long polls."""

import asyncio
import base64
import struct
import urllib.parse

from web import Drop

KEPT_RESPONSES = 5
ITEMS_PER_PAGE = 500
READ_ONLY = ("keyed.op", "keyed.servers")


class Part:
    """One partition of a topic. An offset is an index of `records`."""

    def __init__(self):
        self.records = []  # (key, value or None)
        self.producers = {}  # name -> [epoch, last sequence, {sequence: response}]
        self.grown = asyncio.Event()
        self.lock = asyncio.Lock()

    def newest(self):
        items = {}
        for offset, (key, value) in enumerate(self.records):
            if value is None:
                items.pop(key, None)
            else:
                items[key] = (value, offset)
        return items

    def extend(self, records):
        self.records.extend(records)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()


class Store:
    """`intercept(request)`, if set, is awaited before each call and may raise Drop."""

    def __init__(self, append_s=0.002):
        self.parts = {}
        self.append_s = append_s
        self.intercept = None

    def part(self, topic, number="0"):
        return self.parts.setdefault((topic, str(number)), Part())

    def put(self, topic, key, value):
        """A record of the operator or of a minion."""
        self.part(topic).extend([(key, value)])

    async def handle(self, request):
        if self.intercept is not None:
            await self.intercept(request)
        if request.path == "/log-append":
            return await self._append(request)
        if request.path == "/log-read":
            return await self._read(request)
        if request.path == "/log-newest":
            return self._newest(request)
        return 404, {}

    async def _append(self, request):
        query = request.query
        if query["topic"] in READ_ONLY:
            return 403, {}
        part = self.part(query["topic"], query["part"])
        records = _records_of(request.body)
        async with part.lock:  # a partition processes its appends one at a time
            await asyncio.sleep(self.append_s)
            return self._append_now(part, query, records)

    def _append_now(self, part, query, records):
        producer = query.get("producer")
        sequence = int(query.get("sequence", 0))
        if producer is not None:
            state = part.producers.setdefault(producer, [int(query["epoch"]), None, {}])
            if int(query["epoch"]) < state[0]:
                return 409, {"reason": "fenced"}
            if int(query["epoch"]) > state[0]:
                state[:] = [int(query["epoch"]), None, {}]
            if records and sequence in state[2]:
                return 200, state[2][sequence]
            if records and state[1] is not None and sequence != state[1] + 1:
                return 409, {"reason": "seq", "expected": state[1] + 1}
        if "at" in query and int(query["at"]) != len(part.records):
            return 412, {"endOffset": len(part.records)}
        response = {"offset": len(part.records), "endOffset": len(part.records) + len(records)}
        part.extend(records)
        if producer is not None and records:
            state[1] = sequence
            state[2][sequence] = response
            for old in sorted(state[2])[:-KEPT_RESPONSES]:
                del state[2][old]
        return 200, response

    async def _read(self, request):
        part = self.part(request.query["topic"], request.query["part"])
        start = int(request.query["from"])
        if len(part.records) <= start:
            try:
                await asyncio.wait_for(part.grown.wait(),
                                       int(request.query.get("waitMs", 0)) / 1000)
            except asyncio.TimeoutError:
                pass  # responds without records
        body = bytearray(struct.pack(">QQ", len(part.records), 0))
        for key, value in part.records[start:start + 1000]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, bytes(body)

    def _newest(self, request):
        part = self.part(request.query["topic"], request.query["part"])
        items = sorted(part.newest().items())
        after = urllib.parse.unquote(request.query.get("after", ""))
        items = [item for item in items if item[0] > after]
        page = items[:ITEMS_PER_PAGE]
        return 200, {"items": [{"key": key, "value": base64.b64encode(value).decode(),
                                "offset": offset} for key, (value, offset) in page],
                     "hasMore": len(items) > len(page), "endOffset": len(part.records)}


def _records_of(body):
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4:position + 4 + length]
        position += 4 + length
        size = content[0]
        records.append((content[1:1 + size].decode(), content[1 + size:] or None))
    return records


__all__ = ["Drop", "Store"]
