"""Callers that submit jobs, poll their states and cancel some over persistent connections."""

import asyncio
import random

import aiohttp

REQUEST_TIMEOUT_S = 3.0
SUBMIT_ATTEMPTS = 4
HOST = "queues.example"
FINAL_STATES = ("completed", "failed", "cancelled")


class Job:
    def __init__(self, job_id, queue, steps, is_long_running=False, always_fails=False):
        self.id, self.queue, self.steps = job_id, queue, steps
        self.spec = "spec of " + job_id
        self.is_long_running, self.always_fails = is_long_running, always_fails
        self.is_accepted = False
        self.is_cancelled = False
        self.state = None
        self.account = None  # whose keys its calls carry

    def body(self):
        return {"spec": self.spec, "steps": self.steps}

    def step(self, number):
        return self.steps[number]


class Callers:
    def __init__(self, entries, history, seed, accounts):
        self.entries, self.history, self.accounts = entries, history, accounts
        self.random = random.Random(seed)
        self.jobs = {}
        self.session = None

    async def start(self):
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=60))

    async def stop(self):
        await self.session.close()

    def make_job(self, allow_long_running=True):
        rng = self.random
        job_id = "%016x" % rng.getrandbits(64)
        queue = rng.choice(("alpha", "beta"))
        if rng.random() < 0.06 and allow_long_running:
            steps = [{"count": 3, "cpu": 400, "memMb": 100, "longRunning": True, "mayMiss": 1,
                      "antiAffinity": 1}]
            job = Job(job_id, queue, steps, is_long_running=True)
        else:
            steps = [{"count": rng.randint(1, 4), "cpu": rng.choice((500, 1000, 1500)),
                      "memMb": 100, "estimatedMs": rng.choice((100, 300, 600))}]
            if rng.random() < 0.5:
                steps.append({"count": rng.randint(1, 3), "cpu": 700, "memMb": 100,
                              "estimatedMs": 200, "after": [0], "antiAffinity": 2})
            job = Job(job_id, queue, steps, always_fails=rng.random() < 0.03)
        job.account = self.accounts.account_of(job_id)
        self.jobs[job_id] = job
        return job

    async def _call(self, method, job, body=None):
        return await self.call(method, job, body, self.accounts.key_of(job.account))

    async def call(self, method, job, body, key):
        """Returns the status and the JSON body, or (None, None) without a valid response."""
        sent = self.history.now()
        status, response = await self._send(method, job, body, key)
        if job.account is not None:
            self.history.add("call", method=method, job=job.id, key=key, sent=sent, status=status)
        return status, response

    async def _send(self, method, job, body, key):
        entry = self.random.choice(self.entries)
        url = "%s/%s/%s" % (entry.front(), job.queue, job.id)
        headers = {"Host": HOST, "X-Time-Remaining-Ms": str(int(REQUEST_TIMEOUT_S * 1000))}
        if key is not None:
            headers["Authorization"] = "Bearer " + key
        try:
            async with self.session.request(method, url, json=body, headers=headers) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            return None, None

    async def submit(self, job):
        for _ in range(SUBMIT_ATTEMPTS):
            self.history.add("submit", job=job.id)
            status, _ = await self._call("POST", job, job.body())
            self.history.add("submit-answer", job=job.id, status=status)
            if status == 200:
                job.is_accepted = True
                if self.random.random() < 0.05:
                    await self._resubmit(job)
                return
            if status == 404:
                return
            await asyncio.sleep(self.random.uniform(0.1, 0.8))

    async def _resubmit(self, job):
        """Submits an accepted job again, because the platform may deliver a submission twice."""
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        status, _ = await self._call("POST", job, job.body())
        self.history.add("submit-again", job=job.id, status=status)

    async def cancel(self, job):
        """Retries until the cancellation is acknowledged."""
        while not job.is_cancelled:
            self.history.add("cancel", job=job.id)
            status, _ = await self._call("DELETE", job)
            if status in (200, 410):
                job.is_cancelled = True
                self.history.add("cancel-answer", job=job.id, status=status)
            else:
                await asyncio.sleep(0.3)

    async def poll_state(self, job):
        status, response = await self._call("GET", job)
        if status is not None:
            state = response.get("state") if status == 200 else None
            self.history.add("state", job=job.id, status=status, state=state)
            job.state = state or job.state

    async def poll_until_final(self, job, stop):
        """Polls the state until the job is final or `stop` is set."""
        while job.state not in FINAL_STATES and not stop.is_set():
            await self.poll_state(job)
            await asyncio.sleep(self.random.uniform(0.2, 0.6))

    async def run(self, seconds, rate_per_s, faults_over, stop):
        """Submits jobs for `seconds` and starts a task that follows each one.

        One job in ten is cancelled; each long-running one is cancelled once `faults_over` is set.
        Returns the tasks.
        """
        job_tasks = []
        for _ in range(int(seconds * rate_per_s)):
            job_tasks.append(asyncio.ensure_future(
                self._run_job(self.make_job(), faults_over, stop)))
            await asyncio.sleep(1 / rate_per_s)
        return job_tasks

    async def _run_job(self, job, faults_over, stop):
        await self.submit(job)
        if not job.is_accepted:
            return
        if job.is_long_running:
            await self.poll_until_final(job, faults_over)
            await self.cancel(job)
        elif self.random.random() < 0.1:
            await asyncio.sleep(self.random.uniform(0, 0.5))
            await self.cancel(job)
        await self.poll_until_final(job, stop)
