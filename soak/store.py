"""Simulated platform store: keyed logs with conditional appends, producer fencing, long polls."""

import asyncio
import base64
import random
import struct

from aiohttp import web

from soak.serving import abort_connection

RESPONSES_KEPT = 5
ITEMS_PER_PAGE = 500


class Topic:
    def __init__(self):
        self.records = []  # (key, value or None); the offset is the index
        self.producers = {}  # name -> [epoch, last sequence, {sequence: response}]
        self.appended = asyncio.Condition()

    def latest(self):
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
        async with self.appended:
            self.appended.notify_all()
        return first


class Store:
    """HTTP server of the logs, with injectable faults.

    mode: up, busy (responds 503), reset or silent
    lost_response_ratio: share of the writes that are applied but get no response
    request_delay_s: delay before each request is handled
    """

    def __init__(self, seed):
        self.topics = {}
        self.mode = "up"
        self.lost_response_ratio = 0.0
        self.request_delay_s = 0.0
        self.random = random.Random(seed)
        self.app = web.Application(client_max_size=8 << 20, middlewares=[self._inject_faults])
        self.app.router.add_post("/log-append", self._append)
        self.app.router.add_get("/log-read", self._read)
        self.app.router.add_get("/log-newest", self._latest)

    def topic(self, name, partition="0"):
        return self.topics.setdefault((name, partition), Topic())

    async def put(self, topic, key, value):
        """Writes for an operator or a worker; injected faults do not apply."""
        await self.topic(topic).append([(key, value)])

    @web.middleware
    async def _inject_faults(self, request, handler):
        if self.mode == "busy":
            return web.json_response({}, status=503)
        if self.mode == "reset":
            return abort_connection(request)
        while self.mode == "silent":
            await asyncio.sleep(0.05)
        if self.request_delay_s:
            await asyncio.sleep(self.request_delay_s)
        try:
            response = await handler(request)
        except ConnectionError:
            # The connection closed before the whole request arrived.
            return abort_connection(request)
        if request.method == "POST" and self.random.random() < self.lost_response_ratio:
            return abort_connection(request)
        return response

    async def _append(self, request):
        query = request.query
        topic = self.topic(query["topic"], query["part"])
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return web.json_response({}, status=403)
        records = _parse_records(await request.read())
        producer = query.get("producer")
        if producer is not None:
            rejection = self._check_producer(topic, producer, int(query["epoch"]),
                                             int(query["sequence"]), bool(records))
            if rejection is not None:
                return rejection
        if "at" in query and int(query["at"]) != len(topic.records):
            return web.json_response({"endOffset": len(topic.records)}, status=412)
        first = await topic.append(records)
        response = {"offset": first, "endOffset": len(topic.records)}
        if producer is not None and records:
            state = topic.producers[producer]
            state[1] = int(query["sequence"])
            state[2][state[1]] = response
            for old_sequence in sorted(state[2])[:-RESPONSES_KEPT]:
                del state[2][old_sequence]
        return web.json_response(response)

    @staticmethod
    def _check_producer(topic, producer, epoch, sequence, has_records):
        """Returns a rejection, the earlier response of a repeated append, or None to go on."""
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
        topic = self.topic(request.query["topic"], request.query["part"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", 0)) / 1000
        try:
            async with topic.appended:
                await asyncio.wait_for(
                    topic.appended.wait_for(lambda: len(topic.records) > start), wait_s)
        except asyncio.TimeoutError:
            pass  # responds without records
        body = bytearray(struct.pack(">QQ", len(topic.records), 0))
        for key, value in topic.records[start:start + 2000]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=bytes(body))

    async def _latest(self, request):
        topic = self.topic(request.query["topic"], request.query["part"])
        items = sorted(topic.latest().items())
        after = request.query.get("after")
        if after is not None:
            items = [item for item in items if item[0] > after]
        page = items[:ITEMS_PER_PAGE]
        return web.json_response({
            "items": [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                      for key, (value, offset) in page],
            "hasMore": len(items) > len(page), "endOffset": len(topic.records)})


def _parse_records(body):
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4:position + 4 + length]
        position += 4 + length
        key = content[1:1 + content[0]].decode()
        records.append((key, content[1 + content[0]:] or None))
    return records
