"""Soak: a forwarder under series of signals, with sound clients and sometimes a crowd.

Each seed draws the limits, the endpoints' faults, the signals and the crowd. Clients use
their open connections until the process is killed, 3.7 s after SIGTERM at the earliest.
Prints a line for each seed with what was broken; exits with 1 if anything was.

    python -m measure.soak FIRST_SEED LAST_SEED SECONDS [JOBS]
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from tests.support.client_pressure import FORMS, CrowdProcess, with_body
from tests.support.kernel_figures import memory_kb
from tests.support.loopback_peers import Answer, Node, Peer, Platform, Request

CLASSES = ("status", "pay", "order", "turns")
ONCE_CLASS = "pay"
CLIENTS = 8
PATIENCE_S = 0.4
"""PROTOCOL: how long a client waits for its answer."""
KILL_AFTER_TERM_S = 3.7
"""PROTOCOL: SIGKILL follows SIGTERM no sooner."""
START_AFTER_KILL_S = 0.6
"""PROTOCOL: the next start comes this long after SIGKILL."""
MEMORY_CHOICES_MB = (32, 32, 64, 192)
SOCKET_CHOICES = (256, 512, 1_024)
DEADLINES_S = (0.6, 1.5, 3.0, 8.0)
CROWD_CLIENTS = (100, 300, 600)
MAX_OPEN = 400
CLOSE_CHECK_S = 0.1
"""Time after which a process that closed a connection by ending is known to have ended."""
QUIET_S = 12.0
"""Time after the last signal in which each accepted message has to end."""
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1_024
NEVER_RUN = frozenset((429, 503))
"""Statuses of an endpoint that has not executed the call."""


@dataclass
class Submission:
    """One message of a sound client."""

    name: str
    class_name: str
    status: int = 0
    """Status of the answer; 0 if none was read."""
    cause: str = ""
    """Why there is no answer."""
    sent_at: float = 0.0


@dataclass
class Soak:
    """One run with one seed."""

    seed: int
    seconds: float
    random: random.Random = field(init=False)
    submissions: list[Submission] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    """How often each message may have been executed, by id."""
    delivered: set[str] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    signals: Counter[str] = field(default_factory=Counter)
    peak_kb: int = 0
    stopping: bool = False
    down_since: float = 0.0
    """When the process was killed last; the connections of that time broke."""
    last_signal: str = "start"
    last_signal_at: float = 0.0
    crowd_form: str = ""

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    async def play(self, folder: Path) -> None:
        """Play the run; afterwards `broken` says what was wrong."""
        self.platform = Platform()
        await self.platform.start()
        for number in range(self.random.randint(3, 8)):
            endpoint = await Peer(self._endpoint()).start()
            self.platform.host(f"s{number}", endpoint.port, block=1 + number % 3)
        self.memory_mb = self.random.choice(MEMORY_CHOICES_MB)
        self.node = Node(
            folder,
            self.platform,
            memory_mb=self.memory_mb,
            sockets=self.random.choice(SOCKET_CHOICES),
            max_open=MAX_OPEN,
        )
        await self.node.start()
        started = time.monotonic()
        clients = [asyncio.create_task(self._client(n)) for n in range(CLIENTS)]
        crowd = await self._start_crowd()
        while time.monotonic() - started < self.seconds:
            await asyncio.sleep(0.3 + 2 * self.random.random())
            await self._signal()
        self.stopping = True
        await asyncio.gather(*clients)
        if crowd is not None:
            await crowd.result()
        await self._wait_for_ends()
        self._read_peak()
        await self._end()
        self._judge()

    # Endpoints

    def _endpoint(self) -> Callable[[Request], Awaitable[Answer | bytes | None]]:
        """Return an endpoint with faults of its own."""
        delay_s = self.random.choice((0.0, 0.005, 0.03))
        statuses = [200] * 30 + self.random.choice(([], [500], [429, 503], [500, 429]))

        async def handle(request: Request) -> Answer | bytes | None:
            name = request.headers.get("x-correlation-id", "")
            if delay_s:
                await asyncio.sleep(delay_s * (0.5 + self.random.random()))
            status = self.random.choice(statuses)
            if status not in NEVER_RUN:
                self.runs[name] += 1
            if status == 200:
                self.delivered.add(name)
            headers = {"X-RateLimit-Wait-Ms": "40"} if status == 429 else {}
            return Answer(status, headers)

        return handle

    # Clients

    async def _client(self, number: int) -> None:
        """Submit messages on one connection, as long as it stays open."""
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        sent = 0
        while not self.stopping:
            sent += 1
            submission = Submission(f"c{number}-{sent}", self.random.choice(CLASSES))
            self.submissions.append(submission)
            streams = await self._submit(submission, streams)
            await asyncio.sleep(0.05 * self.random.random())
        if streams is not None:
            streams[1].close()

    async def _submit(
        self,
        submission: Submission,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Submit a message; return its connection if it stays open."""
        is_new = streams is None
        submission.sent_at = time.monotonic()
        was_written = False
        try:
            async with asyncio.timeout(PATIENCE_S):
                if streams is None:
                    streams = await asyncio.open_connection("127.0.0.1", self.node.port)
                reader, writer = streams
                writer.write(self._encode(submission))
                was_written = True
                head = await reader.readuntil(b"\r\n\r\n")
                submission.status = int(head[9:12])
                length = head.lower().partition(b"content-length:")[2].split()[0]
                await reader.readexactly(int(length))
        except TimeoutError:
            submission.cause = "late"
        except (OSError, asyncio.IncompleteReadError) as error:
            if not is_new and streams is not None and not submission.status:
                # The end of a used connection may cross a request.
                streams[1].close()
                return await self._submit(submission, None)
            submission.cause = "closed" if was_written else "refused"
            if was_written:
                await self._judge_close(submission, error)
        else:
            if b"connection: close" not in head.lower():
                return streams
        if streams is not None:
            streams[1].close()
        return None

    async def _judge_close(self, submission: Submission, error: Exception) -> None:
        """Check that a new connection was not closed after its request was read.

        A process that ends closes all of them. Beside a crowd a connection may be closed
        with its request unread, which resets it.
        """
        await asyncio.sleep(CLOSE_CHECK_S)
        is_alive = (
            self.node.process.returncode is None
            and self.down_since < submission.sent_at
        )
        is_reset = isinstance(error, ConnectionResetError)
        if is_alive and not (is_reset and self.crowd_form):
            sent_s = submission.sent_at - self.last_signal_at
            self.broken.append(
                f"{submission.name}: closed without an answer: {error!r}, sent "
                f"{sent_s:.3f} s after {self.last_signal}"
            )

    def _encode(self, submission: Submission) -> bytes:
        left = self.random.choice(DEADLINES_S)
        body = bytes(self.random.choice((5, 200, 200, 20_000)))
        extra = []
        if submission.class_name == "turns":
            extra.append(f"X-Session-Key: k{self.random.randint(0, 9)}")
        request = with_body(
            submission.name, body, *extra, path=f"/{submission.class_name}"
        )
        request = request.replace(b"X-Time-Left: 50", b"X-Time-Left: %.3f" % left)
        return request.replace(b"dest=7", b"dest=%d" % self.random.randint(1, 3))

    async def _start_crowd(self) -> CrowdProcess | None:
        """Start a crowd in half of the runs; it plays until near the end."""
        if self.seed % 2:
            return None
        self.crowd_form = self.random.choice(sorted(FORMS))
        clients = self.random.choice(CROWD_CLIENTS)
        if self.crowd_form.startswith("flood"):
            clients = 1
        return await CrowdProcess.start(
            self.node.port, self.crowd_form, clients, self.seconds, self.seed
        )

    # Signals

    async def _signal(self) -> None:
        """Send the next signal or series of signals, and start the process again."""
        kind = self.random.choice(("kill", "series", "term", "term", "hup", "stop"))
        self.signals[kind] += 1
        self.last_signal, self.last_signal_at = kind, time.monotonic()
        if kind == "hup":
            self.node.process.send_signal(signal.SIGHUP)
        elif kind == "stop":
            self.node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.14)
            self.node.process.send_signal(signal.SIGCONT)
        elif kind == "term":
            self.node.process.send_signal(signal.SIGTERM)
            if self.random.random() < 0.5:
                await asyncio.sleep(0.3)
                self._send_if_alive(signal.SIGTERM)
            await asyncio.sleep(KILL_AFTER_TERM_S)
            await self._restart()
        else:
            for _ in range(1 if kind == "kill" else self.random.randint(2, 4)):
                await self._restart()
                await asyncio.sleep(0.3 + 0.3 * self.random.random())

    def _send_if_alive(self, number: signal.Signals) -> None:
        if self.node.process.returncode is None:
            self.node.process.send_signal(number)

    async def _restart(self) -> None:
        self.down_since = time.monotonic()
        await self._end()
        await asyncio.sleep(START_AFTER_KILL_S)
        self.node.log.clear()
        await self.node.start()

    async def _end(self) -> None:
        """Kill the process, and check that it had not ended by itself."""
        self._read_peak()
        try:
            code = await self.node.end()
        except AssertionError as error:
            self.broken.append(f"log: {str(error)[-2000:]}")
            return
        was_told = any("stopp" in line for line in self.node.log)
        if code != -signal.SIGKILL and not (code == 0 and was_told):
            self.broken.append(f"the process ended by itself with {code}")

    def _read_peak(self) -> None:
        peak_kb = memory_kb(self.node.process.pid, "VmHWM")
        self.peak_kb = max(self.peak_kb, peak_kb)

    # Judgement

    def _notices(self) -> dict[str, str]:
        return {notice["id"]: notice["state"] for notice in self.platform.notices}

    def _unfinished(self) -> list[str]:
        ended = self.delivered | self._notices().keys()
        return [
            s.name for s in self.submissions if s.status == 202 and s.name not in ended
        ]

    async def _wait_for_ends(self) -> None:
        until = time.monotonic() + QUIET_S
        while self._unfinished() and time.monotonic() < until:
            await asyncio.sleep(0.2)

    def _judge(self) -> None:
        for name in self._unfinished():
            self.broken.append(f"{name}: accepted, and no end")
        classes = {s.name: s.class_name for s in self.submissions}
        for name, count in self.runs.items():
            if count > 1 and classes.get(name) == ONCE_CLASS:
                self.broken.append(f"{name}: executed {count} times")
        for submission in self.submissions:
            refused = submission.status in (429, 503)
            if refused and self.runs[submission.name]:
                self.broken.append(f"{submission.name}: refused, and executed")
        if self.peak_kb * BYTES_PER_KB > self.memory_mb * BYTES_PER_MB:
            self.broken.append(f"{self.peak_kb} kB of {self.memory_mb} MB")

    def summary(self) -> str:
        """Describe the run in one line."""
        answers = Counter(s.cause or str(s.status) for s in self.submissions)
        verdict = "; ".join(self.broken) if self.broken else "held"
        return (
            f"seed {self.seed}: {verdict}; {self.memory_mb} MB, peak {self.peak_kb} kB; "
            f"signals {dict(self.signals)}; crowd {self.crowd_form or 'none'}; "
            f"answers {dict(sorted(answers.items()))}"
        )


async def run_seed(seed: int, seconds: float) -> Soak:
    """Play one seed."""
    soak = Soak(seed, seconds)
    with tempfile.TemporaryDirectory() as folder:
        await soak.play(Path(folder))
    return soak


async def run_seeds(first: int, last: int, seconds: float, jobs: int) -> bool:
    """Play the seeds, `jobs` at a time; return whether all of them held."""
    held = True
    slots = asyncio.Semaphore(jobs)

    async def run(seed: int) -> None:
        nonlocal held
        async with slots:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "measure.soak", str(seed), str(seed), str(seconds)
            )
            held = await process.wait() == 0 and held

    await asyncio.gather(*(run(seed) for seed in range(first, last + 1)))
    return held


def main() -> int:
    """Play the seeds that the command line names; return the exit status."""
    first, last, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    if first == last:
        soak = asyncio.run(run_seed(first, seconds))
        print(soak.summary(), flush=True)
        return 1 if soak.broken else 0
    jobs = int(sys.argv[4]) if len(sys.argv) > 4 else 1
    return 0 if asyncio.run(run_seeds(first, last, seconds, jobs)) else 1


if __name__ == "__main__":
    sys.exit(main())
