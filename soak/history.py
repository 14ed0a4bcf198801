"""Records what callers, workers and machines observe, in order."""

import json
import time


class History:
    """Events as dicts with `t` (seconds since the start) and `kind`; rules.py reads the rest."""

    def __init__(self):
        self.start = time.monotonic()
        self.events = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, kind, **fields):
        self.events.append({"t": self.now(), "kind": kind, **fields})

    def write(self, path):
        with open(path, "w") as file:
            for event in self.events:
                file.write(json.dumps(event) + "\n")
