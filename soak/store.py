"""Stand-in of the platform's store: keyed logs with conditions, fenced producers and long polls."""

import asyncio
import base64
import random
import struct

from aiohttp import web

from soak.serving import hang_up

ANSWERS_KEPT = 5
ITEMS_PER_PAGE = 500


class Topic:
    def __init__(self):
        self.records = []  # (key, value or None); the offset is the index
        self.producers = {}  # name -> [epoch, sequence, {sequence: offset}]
        self.grown = asyncio.Condition()

    def newest(self):
        items = {}
        for offset, (key, value) in enumerate(self.records):
            if value is None:
                items.pop(key, None)
            else:
                items[key] = (value, offset)
        return items

    async def append(self, records):
        first = len(self.records)
        self.records.extend(records)
        async with self.grown:
            self.grown.notify_all()
        return first


class Store:
    """`mode` is up, busy (503), reset or silent; `lost_share` of the writes are done and not
    answered; `slow_s` is added to each answer."""

    def __init__(self, seed):
        self.topics = {}
        self.mode = "up"
        self.lost_share = 0.0
        self.slow_s = 0.0
        self.random = random.Random(seed)
        self.app = web.Application(client_max_size=8 << 20, middlewares=[self._disturb])
        self.app.router.add_post("/log-append", self._append)
        self.app.router.add_get("/log-read", self._read)
        self.app.router.add_get("/log-newest", self._newest)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def put(self, topic, key, value):
        """A write of the operator or of a worker, past all faults."""
        await self.topic(topic).append([(key, value)])

    @web.middleware
    async def _disturb(self, request, handler):
        if self.mode == "busy":
            return web.json_response({}, status=503)
        if self.mode == "reset":
            return hang_up(request)
        while self.mode == "silent":
            await asyncio.sleep(0.05)
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        try:
            answer = await handler(request)
        except ConnectionError:
            return hang_up(request)  # the request was cut off before it was whole
        if request.method == "POST" and self.random.random() < self.lost_share:
            return hang_up(request)
        return answer

    async def _append(self, request):
        query = request.query
        topic = self.topic(query["topic"])
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return web.json_response({}, status=403)
        records = _records(await request.read())
        producer = query.get("producer")
        if producer is not None:
            refusal = self._check(topic, producer, int(query["epoch"]), int(query["sequence"]),
                                  bool(records))
            if refusal is not None:
                return refusal
        if "at" in query and int(query["at"]) != len(topic.records):
            return web.json_response({"endOffset": len(topic.records)}, status=412)
        first = await topic.append(records)
        answer = {"offset": first, "endOffset": len(topic.records)}
        if producer is not None and records:
            state = topic.producers[producer]
            state[1] = int(query["sequence"])
            state[2][state[1]] = answer
            for old in sorted(state[2])[:-ANSWERS_KEPT]:
                del state[2][old]
        return web.json_response(answer)

    @staticmethod
    def _check(topic, producer, epoch, sequence, has_records):
        """A refusal, the repeated answer, or nothing when the append may go on."""
        state = topic.producers.setdefault(producer, [epoch, None, {}])
        if epoch < state[0]:
            return web.json_response({"reason": "fenced"}, status=409)
        if epoch > state[0]:
            state[:] = [epoch, None, {}]
        if not has_records:
            return None
        if sequence in state[2]:
            return web.json_response(state[2][sequence])
        if state[1] is not None and sequence != state[1] + 1:
            return web.json_response({"reason": "seq", "expected": state[1] + 1}, status=409)
        return None

    async def _read(self, request):
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", 0)) / 1000
        try:
            async with topic.grown:
                await asyncio.wait_for(
                    topic.grown.wait_for(lambda: len(topic.records) > start), wait_s)
        except asyncio.TimeoutError:
            pass  # an answer without records says that none came
        body = bytearray(struct.pack(">QQ", len(topic.records), 0))
        for key, value in topic.records[start:start + 2000]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=bytes(body))

    async def _newest(self, request):
        topic = self.topic(request.query["topic"])
        items = sorted(topic.newest().items())
        after = request.query.get("after")
        if after is not None:
            items = [item for item in items if item[0] > after]
        page = items[:ITEMS_PER_PAGE]
        return web.json_response({
            "items": [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                      for key, (value, offset) in page],
            "hasMore": len(items) > len(page), "endOffset": len(topic.records)})


def _records(body):
    records = []
    place = 0
    while place < len(body):
        (length,) = struct.unpack_from(">I", body, place)
        content = body[place + 4:place + 4 + length]
        place += 4 + length
        key = content[1:1 + content[0]].decode()
        records.append((key, content[1 + content[0]:] or None))
    return records
