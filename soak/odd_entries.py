"""Entries that another writer leaves in the registry of the workers."""

import json

NESTED_LEVELS = 30_000  # below the longest entry that is read
# Exhausts the stack of a process that copies the document.
DEEPLY_NESTED_LEVELS = 200_000
HUGE_LABEL_BYTES = 100_000


def _entry(**changes):
    entry = {"service": "alpha", "address": "127.0.0.1:1", "zone": "z0", "version": "1",
             "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
             "born": 1_700_000_000_000, "capacity": {"cpu": 4000, "memMb": 8000, "gpu": 0},
             "labels": ["plain", "rack-z0"], "clockMs": 1}
    entry.update(changes)
    return json.dumps(entry).encode()


def odd_entries():
    """Returns texts of entries that name no worker to use."""
    nested = b"[" * NESTED_LEVELS + b"]" * NESTED_LEVELS
    return [
        b"[" * DEEPLY_NESTED_LEVELS + b"]" * DEEPLY_NESTED_LEVELS,
        _entry()[:-1] + b', "novel": ' + nested + b"}",
        _entry(capacity={"cpu": 1 << 70, "memMb": 8000, "gpu": 0}),
        _entry(clockMs=1e300),
        _entry(born=1 << 60),
        _entry(born=(1 << 50) - 1),
        _entry(born=None),
        _entry(address="127.0.0.1:70000"),
        _entry(address="host.example:80"),
        _entry(address="255.255.255.255:80"),
        _entry(labels=["k" * HUGE_LABEL_BYTES]),
        _entry(state="asleep"),
        _entry(service="no-such-service"),
        b"\x00\xff\xfe",
        b"",
    ]
