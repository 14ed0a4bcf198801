"""Stand-in of the platform's store: keyed logs, conditions, producers, limits of size.

Follows PROTOCOL.md, "The platform's metadata store".
"""

import asyncio
import base64
import json
import struct
import time

from review.standins.http import Server, json_response

MAX_RECORD_BYTES = 262144
MAX_CALL_BYTES = 2097152
RESPONSES_KEPT = 5
ITEMS_PER_PAGE = 500
PAGE_BYTES = 1 << 20
AWAY_S = 10.0  # longer than any call waits


class Topic:
    def __init__(self):
        self.records = []  # (key, value or None); the offset is the index
        self.first = 0  # the first offset that is retained
        self.is_away = False  # requests get no response and have no effect
        self.is_deaf = False  # waiting reads hear nothing of new records
        self.newest = {}  # key -> (value, offset)
        self.producers = {}  # name -> [epoch, last sequence, {sequence: response}]

    def append(self, records):
        first = len(self.records)
        for key, value in records:
            if value is None:
                self.newest.pop(key, None)
            else:
                self.newest[key] = (value, len(self.records))
            self.records.append((key, value))
        return first


class Store:
    def __init__(self):
        self.topics = {}
        self.rejected_as_too_large = 0
        self.server = Server(self._handle)

    async def start(self):
        return await self.server.start()

    def topic(self, name, part="0"):
        return self.topics.setdefault((name, part), Topic())

    def put(self, name, key, value):
        """Writes for the operator and the minions."""
        content = None if value is None else json.dumps(value).encode()
        self.topic(name).append([(key, content)])

    def forget_history(self):
        """Drops the history of all logs; the newest record of each key is retained."""
        for topic in self.topics.values():
            topic.first = len(topic.records)

    async def _handle(self, request):
        topic = self.topic(request.query.get("topic", ""), request.query.get("part", ""))
        if topic.is_away:
            await asyncio.sleep(AWAY_S)
            return None
        if request.path == "/log-append":
            return self._append(request)
        if request.path == "/log-read":
            return await self._read(request)
        if request.path == "/log-newest":
            return self._newest(request)
        return json_response({}, 404)

    def _append(self, request):
        query = request.query
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return json_response({}, 403)
        topic = self.topic(query["topic"], query["part"])
        records, total, largest = [], 0, 0
        position = 0
        while position < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, position)
            content = request.body[position + 4:position + 4 + size]
            position += 4 + size
            total, largest = total + size, max(largest, size)
            records.append((content[1:1 + content[0]].decode(), content[1 + content[0]:] or None))
        if largest > MAX_RECORD_BYTES or total > MAX_CALL_BYTES:
            self.rejected_as_too_large += 1
            return json_response({}, 413)
        producer = query.get("producer")
        if producer is not None:
            rejection = self._check(topic, producer, int(query["epoch"]), int(query["sequence"]),
                                    bool(records))
            if rejection is not None:
                return rejection
        if "at" in query and int(query["at"]) != len(topic.records):
            return json_response({"endOffset": len(topic.records)}, 412)
        response = {"offset": topic.append(records), "endOffset": len(topic.records)}
        if producer is not None and records:
            state = topic.producers[producer]
            state[1] = int(query["sequence"])
            state[2][state[1]] = response
            for old in sorted(state[2])[:-RESPONSES_KEPT]:
                del state[2][old]
        return json_response(response)

    @staticmethod
    def _check(topic, producer, epoch, sequence, has_records):
        """Returns a rejection, the earlier response of a repeated append, or None to go on."""
        state = topic.producers.setdefault(producer, [epoch, None, {}])
        if epoch < state[0]:
            return json_response({"reason": "fenced"}, 409)
        if epoch > state[0]:
            state[:] = [epoch, None, {}]
        if not has_records:
            return None
        if sequence in state[2]:
            return json_response(state[2][sequence])
        if state[1] is not None and sequence != state[1] + 1:
            return json_response({"reason": "seq", "expected": state[1] + 1}, 409)
        return None

    async def _read(self, request):
        topic = self.topic(request.query["topic"], request.query["part"])
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while (len(topic.records) <= start or topic.is_deaf) and time.monotonic() < until:
            await asyncio.sleep(0.005)
        if start < topic.first:
            return json_response({"firstOffset": topic.first}, 410)
        records = [] if topic.is_deaf else topic.records[start:]
        body = bytearray(struct.pack(">QQ", start + len(records), topic.first))
        for key, value in records:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
            if len(body) > PAGE_BYTES:
                break
        return 200, bytes(body), "application/octet-stream"

    def _newest(self, request):
        topic = self.topic(request.query["topic"], request.query["part"])
        after = request.query.get("after", "")
        items, size, has_more = [], 0, False
        for key in sorted(key for key in topic.newest if key > after):
            if len(items) >= ITEMS_PER_PAGE or (items and size > PAGE_BYTES):
                has_more = True
                break
            value, offset = topic.newest[key]
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return json_response({"items": items, "hasMore": has_more,
                              "endOffset": len(topic.records)})
