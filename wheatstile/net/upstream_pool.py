"""Servers: the upstreams that the resolver result names, attempts to set an RPC up, and probes."""

import asyncio
import errno
import socket
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from statistics import median

import structlog

from wheatstile import interface as api
from wheatstile.config import reports
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.platform import UpstreamLimits
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.line_stream import LineStream, LineTooLongError

log = structlog.get_logger()

# A report's name on the sockets -> the interface's word.
REPORT_NAMES = {
    "inflight": "inflight",
    "queue": "queue",
    "util": "busy",
    "latency_ms": "latency_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
    "x0": "load",
    "x1": "backlog_s",
}
OUTCOMES = {b"BYE": "ok", b"MOVE": "cancelled", b"ERR": "error", b"BUSY": "overloaded"}
PROBES = 1 / 10  # of the descriptors, and no more, are for connections that probes go out on
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
SWEEP = 1.0  # seconds between two looks at the delays of the upstreams' messages


def report_in(text: bytes) -> api.LoadReport | None:
    """A load report as it closes a line."""
    return reports.parse_load_report(text.decode("latin-1"), "=", REPORT_NAMES) or None


def verdict_of(line: bytes) -> tuple[str, api.LoadReport | None]:
    """How a line of a server's ends what it was asked for, and the report on it. Unknown words are errors."""
    word, _, rest = line.strip().partition(b" ")
    return OUTCOMES.get(word, "error"), report_in(rest)


@dataclass(eq=False, slots=True)
class Upstream:
    """One server: its latest address, the RPCs that are up on it, and the task that probes it."""

    name: str
    address: tuple[str, int]
    open: dict[str, int] = field(default_factory=dict)  # RPCs that are up -> since when a line waits; 0: none
    delays: list[float] = field(default_factory=list)  # of messages answered since the last sweep, in ms
    slow: bool = False  # messages took long at the last sweep
    owed: int = 0  # probes that the module has asked for and not been told of
    leaving: bool = False  # it drains or is gone, as last told
    wanted: asyncio.Event = field(default_factory=asyncio.Event)
    prober: asyncio.Task[None] | None = None

    def asked(self, rpc: str, now: int) -> None:
        """A client's line has gone out on this RPC."""
        self.open[rpc] = self.open[rpc] or now

    def answered(self, rpc: str, now: int) -> None:
        """The server has returned a line on this RPC."""
        if self.open[rpc]:
            if len(self.delays) < 1000:  # a chatty server may not fill the memory before the sweep
                self.delays.append((now - self.open[rpc]) / 1000)
            self.open[rpc] = 0


class Attempt:
    """One attempt to set an RPC up, and the connection that it becomes. Its RPC closes it."""

    __slots__ = ("_limits", "lines", "report", "upstream")

    def __init__(self, upstream: Upstream, limits: UpstreamLimits) -> None:
        self.upstream, self._limits = upstream, limits
        self.lines: LineStream | None = None
        self.report: api.LoadReport | None = None

    async def run(
        self, first_line: Callable[[int], bytes | None], timeout: float, patient: bool = False
    ) -> tuple[str, bytes]:
        """Connect, send the first line, and wait for the answer: the outcome ("up" or why not) and its line.

        A patient one takes all its time to connect: it has no other server to go to. Whether the attempt may
        have run turns on the line's last byte: until it is written, whatever fails is a failed connect. If it
        is sent at all is asked in the turn in which it goes out: while the connection came up the client may
        have left, the server may have been told to drain, and the time may have run out.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        try:
            self.lines = LineStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            async with asyncio.timeout(timeout if patient else min(self._limits.connect_timeout_s, timeout)):
                await loop.sock_connect(self.lines.sock, self.upstream.address)
        except (OSError, TimeoutError) as error:
            # Without a descriptor of our own nothing was sent, and the server has not failed.
            return "not_sent" if getattr(error, "errno", 0) in NO_DESCRIPTORS else "connect_failed", b""
        left = deadline - loop.time()
        if left <= 0 or (self.upstream.leaving and not patient):
            return "not_sent", b""  # what stands at a server that drains may be set up again, nothing new
        first = first_line(max(1, int(left * 1000)))
        if first is None:
            return "not_sent", b""
        try:
            if rest := self.lines.send_now(first):  # a new connection takes 4 KiB; should it not, wait for it
                async with asyncio.timeout_at(deadline):
                    await self.lines.send(rest)
        except TimeoutError:
            return "timeout", b""  # its last byte may have gone out in the same turn
        except OSError:
            return "connect_failed", b""
        try:
            async with asyncio.timeout_at(deadline):
                line = await self.lines.read_line()
        except TimeoutError:
            return "timeout", b""
        except OSError:
            return "reset", b""
        except LineTooLongError:
            return "error", b""
        if not line:
            return "reset", b""
        if line.startswith(b"UP "):
            return "up", line
        outcome, self.report = verdict_of(line)
        return outcome, line

    def close(self, reset: bool = False) -> None:
        if self.lines:
            self.lines.close(reset)
            self.lines = None


class UpstreamPool:
    """All servers that the resolver result has named."""

    def __init__(self, decisions: DecisionLoop, limits: UpstreamLimits) -> None:
        self.decisions, self.limits = decisions, limits
        self.by_name: dict[str, Upstream] = {}
        self._probes = 0  # connections open for probes
        self._idle: dict[Upstream, None] = {}  # those of them that are idle, the longest first

    def update(self, members: Collection[ResolvedEndpoint], complete: bool) -> None:
        """Follow the list: a changed address holds for what is opened next; None: the server is gone."""
        latest = {member.endpoint.name: member.address for member in members}
        for entry, address in members:
            if address is not None:
                if entry.name not in self.by_name:
                    self.by_name[entry.name] = Upstream(entry.name, address)
                upstream = self.by_name[entry.name]
                upstream.address, upstream.leaving = address, entry.state != api.EndpointState.READY
        for name in list(self.by_name) if complete else latest:
            if latest.get(name) is None and name in self.by_name:
                upstream = self.by_name.pop(name)
                upstream.leaving = True
                if upstream.prober:
                    upstream.prober.cancel()

    def most_probes(self) -> int:
        return max(4, int(self.limits.descriptors * PROBES))

    def attempt(self, server: str) -> Attempt | None:
        upstream = self.by_name.get(server)
        return Attempt(upstream, self.limits) if upstream else None

    def check_health(self, server: str) -> None:
        upstream = self.by_name.get(server)
        if upstream is None:
            return self.decisions.dispatch(api.HealthCheckResult(server, api.AttemptOutcome.CONNECT_FAILED))
        upstream.owed += 1
        upstream.wanted.set()
        if upstream.prober is None:
            upstream.prober = asyncio.create_task(self._probe_on(upstream))
            upstream.prober.add_done_callback(lambda task: self._settle(upstream, task))

    def _settle(self, upstream: Upstream, task: asyncio.Task[None]) -> None:
        """A prober has ended, be it that its server left the list: what was asked of it is answered here.

        The module keeps a server's place in a held request until its probe is over; one that never ends
        would stop all later probes of that server.
        """
        upstream.prober = None
        if not task.cancelled() and (error := task.exception()):
            log.error("a prober failed", server=upstream.name, exc_info=error)
        while upstream.owed:
            upstream.owed -= 1
            self.decisions.dispatch(api.HealthCheckResult(upstream.name, api.AttemptOutcome.CONNECT_FAILED))

    async def _probe_on(self, upstream: Upstream) -> None:
        """Probe one server as often as asked, on one connection that is closed when it falls idle."""
        lines: LineStream | None = None

        def close() -> None:
            nonlocal lines
            if lines:
                lines.close()
                lines, self._probes = None, self._probes - 1

        try:
            while True:
                if not upstream.owed:
                    upstream.wanted.clear()
                    if lines:
                        self._idle[upstream] = None
                    try:
                        async with asyncio.timeout(self.limits.idle_timeout_s if lines else None):
                            await upstream.wanted.wait()
                    except TimeoutError:
                        close()
                    finally:
                        self._idle.pop(upstream, None)
                    if not upstream.owed:  # it was idle too long, or another needs its connection
                        close()
                        continue
                if lines and lines.ended():  # a server may close what is idle; that is no failed probe
                    close()
                reused = lines is not None
                start = self.decisions.now()
                outcome, report = "connect_failed", None
                try:
                    if lines is None:
                        self._spare_one()
                        lines = LineStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
                        self._probes += 1
                        async with asyncio.timeout(self.limits.connect_timeout_s):
                            await asyncio.get_running_loop().sock_connect(lines.sock, upstream.address)
                    outcome, report = await self._ask(lines)
                except TimeoutError:
                    pass
                except OSError as error:
                    if error.errno in NO_DESCRIPTORS:
                        outcome = "not_sent"
                if outcome != "ok":  # what it still owes would be taken for the next answer
                    close()
                if reused and outcome == "reset":  # it was closed as idle while the probe went out
                    self.decisions.counters["probe repeated"] += 1
                    continue
                self.decisions.counters[f"probe {outcome}"] += 1
                upstream.owed -= 1
                self.decisions.dispatch(
                    api.HealthCheckResult(
                        upstream.name, api.AttemptOutcome(outcome), self.decisions.now() - start, report
                    )
                )
        finally:
            close()

    def _spare_one(self) -> None:
        """Where servers are many, the connection that has been idle longest makes room for another."""
        if self._probes >= self.most_probes() and self._idle:
            longest = next(iter(self._idle))
            del self._idle[longest]
            longest.wanted.set()

    async def _ask(self, lines: LineStream) -> tuple[str, api.LoadReport | None]:
        try:
            async with asyncio.timeout(self.limits.health_check_timeout_s):
                await lines.send(b"STATS\r\n")
                line = await lines.read_line()
        except TimeoutError:
            return "timeout", None
        except (OSError, LineTooLongError):
            return "reset", None
        word, _, rest = line.strip().partition(b" ")
        if word == b"PONG":
            return "ok", report_in(rest)
        return ("reset", None) if not line else verdict_of(line)

    async def sweep(self) -> None:
        """Once a second, the simulator's pace: tell the module at which servers messages take long."""
        while True:
            await asyncio.sleep(SWEEP)
            now = self.decisions.now()
            for upstream in list(self.by_name.values()):
                if self.limits.reports_message_latency:
                    self._note_delay(upstream, now)

    def _note_delay(self, upstream: Upstream, now: int) -> None:
        """A note on one connection of a server whose messages take long, and one more after."""
        waiting = [(now - asked_at) / 1000 for asked_at in upstream.open.values() if asked_at]
        threshold = self.limits.message_latency_objective_ms / 3
        delays = upstream.delays + [age for age in waiting if age > threshold]
        upstream.delays = []
        if not upstream.open or not delays:
            return
        delay = median(delays)
        if delay > threshold or upstream.slow:
            upstream.slow = delay > threshold
            self.decisions.dispatch(
                api.MessageLatencyChanged(next(iter(upstream.open)), upstream.name, delay)
            )
