"""What callers, workers and the machines saw, in the order in which it happened."""

import json
import time


class History:
    """Events as dicts with `t` (seconds since the start) and `kind`; rules.py names the fields."""

    def __init__(self):
        self.begin = time.monotonic()
        self.events = []

    def now(self):
        return time.monotonic() - self.begin

    def add(self, kind, **fields):
        self.events.append({"t": self.now(), "kind": kind, **fields})

    def write(self, path):
        with open(path, "w") as file:
            for event in self.events:
                file.write(json.dumps(event) + "\n")
