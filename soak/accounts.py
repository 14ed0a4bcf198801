"""Client accounts of a soak: keys that come and go, and calls that must not be accepted."""

import asyncio
import random

# Share of the soaks whose configuration has accounts.
ACCOUNTS_RATIO = 0.5
# In thousandths of a core; 0: no limit. The pools that run jobs have 48 cores.
CPU_CAPS = {"acme": 6000, "brook": 12000, "cove": 0}
KEY_CHANGES = 3
PROBE_PAUSE_S = 0.15


class Accounts:
    """Drawn by a generator of its own, so that all else in a seed stays the same."""

    def __init__(self, seed, history):
        self.random = random.Random("accounts of %s" % seed)
        self.history = history
        self.keys = {}  # account -> its keys in the newest configuration, the oldest first
        self.withdrawn = []
        if self.random.random() < ACCOUNTS_RATIO:
            for name in CPU_CAPS:
                self.keys[name] = []
                self._add_key(name)
                self._add_key(name)

    def _draw_key(self):
        return "%032x" % self.random.getrandbits(128)

    def _add_key(self, name):
        key = self._draw_key()
        self.keys[name].append(key)
        self.history.add("key-added", key=key, account=name)

    def change_a_key(self):
        name = self.random.choice(sorted(self.keys))
        self._add_key(name)
        key = self.keys[name].pop(0)
        self.withdrawn.append(key)
        self.history.add("key-withdrawn", key=key, account=name)

    def draw_changes(self, seconds):
        """Returns the times of the key changes."""
        return [self.random.uniform(1.0, seconds) for _ in range(KEY_CHANGES)] if self.keys else []

    def rows(self):
        return [{"name": name, "apiKeys": keys, "weight": 4.0, "cap": {"cpu": CPU_CAPS[name]}}
                for name, keys in self.keys.items()]

    def account_of(self, job_id):
        """The account that submits a job, or None without accounts."""
        names = sorted(self.keys)
        return names[int(job_id, 16) % len(names)] if names else None

    def key_of(self, account):
        """The oldest key of an account, since the newest may not be in force yet."""
        return self.keys[account][0] if account else None

    async def probe(self, callers, stop):
        """Sends calls without a key, and with keys that are unknown, withdrawn or of another
        account, for jobs that exist."""
        while self.keys and not stop.is_set():
            await asyncio.sleep(PROBE_PAUSE_S)
            jobs = [job for job in callers.jobs.values() if job.is_accepted]
            if not jobs:
                continue
            job = self.random.choice(jobs)
            method = self.random.choice(("GET", "GET", "DELETE", "POST"))
            key = self.random.choice((None, self._draw_key(), "not one key"))
            if method == "GET" and self.random.random() < 0.6:
                others = [keys[0] for name, keys in self.keys.items() if name != job.account]
                key = self.random.choice(others + self.withdrawn[-1:])
            await callers.call(method, job, job.body() if method == "POST" else None, key)
