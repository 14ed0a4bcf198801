"""Stand-in of the platform's store: keyed logs, conditional and numbered appends, long polls."""

import asyncio
import base64
import struct

REPEATS_KEPT = 5
ITEMS_PER_PAGE = 500
RECORDS_PER_READ = 2000


class Partition:
    def __init__(self):
        self.records = []  # (key, value or None), at their offsets
        self.producers = {}  # name -> [epoch, last sequence or None, {sequence: response}]
        self.changed = asyncio.Event()

    def append(self, records):
        first = len(self.records)
        self.records.extend(records)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return first

    def newest(self):
        items = {}
        for offset, (key, value) in enumerate(self.records):
            if value is None:
                items.pop(key, None)
            else:
                items[key] = (value, offset)
        return items


class Store:
    def __init__(self):
        self.partitions = {}

    def partition(self, topic, part="0"):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Writes as the operator or a minion does."""
        self.partition(topic).append([(key, value)])

    async def handle(self, request):
        handler = {"/log-append": self.append, "/log-read": self.read,
                   "/log-newest": self.read_newest}.get(request.path)
        return (404, {}) if handler is None else await handler(request)

    async def append(self, request):
        query = request.query
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        partition = self.partition(query["topic"], query["part"])
        records = parse_records(request.body)
        state = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = partition.producers.setdefault(query["producer"], [epoch, None, {}])
            if epoch < state[0]:
                return 409, {"reason": "fenced"}
            if epoch > state[0]:
                state[:] = [epoch, None, {}]
            if records and sequence in state[2]:
                return 200, state[2][sequence]
            if records and state[1] is not None and sequence != state[1] + 1:
                return 409, {"reason": "seq", "expected": state[1] + 1}
        if "at" in query and int(query["at"]) != len(partition.records):
            return 412, {"endOffset": len(partition.records)}
        first = partition.append(records) if records else len(partition.records)
        response = {"offset": first, "endOffset": len(partition.records)}
        if state is not None and records:
            state[1] = sequence
            state[2][sequence] = response
            for old in sorted(state[2])[:-REPEATS_KEPT]:
                del state[2][old]
        return 200, response

    async def read(self, request):
        partition = self.partition(request.query["topic"], request.query["part"])
        start = int(request.query["from"])
        if len(partition.records) <= start:
            try:
                await asyncio.wait_for(partition.changed.wait(),
                                       int(request.query.get("waitMs", 0)) / 1000)
            except asyncio.TimeoutError:
                pass
        body = bytearray(struct.pack(">QQ", len(partition.records), 0))
        for key, value in partition.records[start:start + RECORDS_PER_READ]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, bytes(body)

    async def read_newest(self, request):
        partition = self.partition(request.query["topic"], request.query["part"])
        items = [item for item in sorted(partition.newest().items())
                 if item[0] > request.query.get("after", "")]
        page = items[:ITEMS_PER_PAGE]
        return 200, {"items": [{"key": key, "value": base64.b64encode(value).decode(),
                                "offset": offset} for key, (value, offset) in page],
                     "hasMore": len(items) > len(page), "endOffset": len(partition.records)}


def parse_records(body):
    records, at = [], 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        content = body[at + 4:at + 4 + length]
        at += 4 + length
        records.append((content[1:1 + content[0]].decode(), content[1 + content[0]:] or None))
    return records
