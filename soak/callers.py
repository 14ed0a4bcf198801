"""Callers that hand jobs in, ask for their states, cancel some, and keep their connections open."""

import asyncio
import random

import aiohttp

TIMEOUT_S = 3.0
ATTEMPTS = 4
HOST = "queues.example"
FINAL = ("completed", "failed", "cancelled")


class Job:
    def __init__(self, identity, queue, steps, is_lasting=False, is_hopeless=False):
        self.id, self.queue, self.steps = identity, queue, steps
        self.spec = "spec of " + identity
        self.is_lasting, self.is_hopeless = is_lasting, is_hopeless
        self.is_accepted = False
        self.is_cancelled = False
        self.state = None

    def body(self):
        return {"spec": self.spec, "steps": self.steps}

    def step(self, number):
        return self.steps[number]


class Callers:
    def __init__(self, entries, history, seed):
        self.entries, self.history = entries, history
        self.random = random.Random(seed)
        self.jobs = {}
        self.session = None

    async def start(self):
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=60))

    async def stop(self):
        await self.session.close()

    def make_job(self, may_last=True):
        draw = self.random
        identity = "%016x" % draw.getrandbits(64)
        queue = draw.choice(("alpha", "beta"))
        if draw.random() < 0.06 and may_last:
            steps = [{"count": 3, "cpu": 400, "memMb": 100, "longRunning": True, "mayMiss": 1,
                      "antiAffinity": 1}]
            job = Job(identity, queue, steps, is_lasting=True)
        else:
            steps = [{"count": draw.randint(1, 4), "cpu": draw.choice((500, 1000, 1500)),
                      "memMb": 100, "estimatedMs": draw.choice((100, 300, 600))}]
            if draw.random() < 0.5:
                steps.append({"count": draw.randint(1, 3), "cpu": 700, "memMb": 100,
                              "estimatedMs": 200, "after": [0], "antiAffinity": 2})
            job = Job(identity, queue, steps, is_hopeless=draw.random() < 0.03)
        self.jobs[identity] = job
        return job

    async def _call(self, method, job, body=None):
        """The status and the JSON of an answer, or (None, None) when there was none."""
        entry = self.random.choice(self.entries)
        url = "%s/%s/%s" % (entry.front(), job.queue, job.id)
        headers = {"Host": HOST, "X-Time-Remaining-Ms": str(int(TIMEOUT_S * 1000))}
        try:
            async with self.session.request(method, url, json=body, headers=headers) as answer:
                return answer.status, await answer.json()
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            return None, None

    async def hand_in(self, job):
        for _ in range(ATTEMPTS):
            self.history.add("submit", job=job.id)
            status, _ = await self._call("POST", job, job.body())
            self.history.add("submit-answer", job=job.id, status=status)
            if status == 200:
                job.is_accepted = True
                if self.random.random() < 0.05:
                    await self._repeat(job)
                return
            if status == 404:
                return
            await asyncio.sleep(self.random.uniform(0.1, 0.8))

    async def _repeat(self, job):
        """The platform brings an accepted submission a second time now and then."""
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        status, _ = await self._call("POST", job, job.body())
        self.history.add("submit-again", job=job.id, status=status)

    async def cancel(self, job):
        """Asks until the cancellation was acknowledged."""
        while not job.is_cancelled:
            self.history.add("cancel", job=job.id)
            status, _ = await self._call("DELETE", job)
            if status in (200, 410):
                job.is_cancelled = True
                self.history.add("cancel-answer", job=job.id, status=status)
            else:
                await asyncio.sleep(0.3)

    async def look(self, job):
        status, answer = await self._call("GET", job)
        if status is not None:
            state = answer.get("state") if status == 200 else None
            self.history.add("state", job=job.id, status=status, state=state)
            job.state = state or job.state

    async def follow(self, job, until):
        """Looks now and then until the job has ended or `until` is set."""
        while job.state not in FINAL and not until.is_set():
            await self.look(job)
            await asyncio.sleep(self.random.uniform(0.2, 0.6))

    async def run(self, seconds, per_s, calm, until):
        """Hands jobs in for `seconds`, follows them, and cancels one in ten, the lasting ones when
        it is calm."""
        followers = []
        for _ in range(int(seconds * per_s)):
            followers.append(asyncio.ensure_future(self._one(self.make_job(), calm, until)))
            await asyncio.sleep(1 / per_s)
        return followers

    async def _one(self, job, calm, until):
        await self.hand_in(job)
        if not job.is_accepted:
            return
        if job.is_lasting:
            await self.follow(job, calm)
            await self.cancel(job)
        elif self.random.random() < 0.1:
            await asyncio.sleep(self.random.uniform(0, 0.5))
            await self.cancel(job)
        await self.follow(job, until)
