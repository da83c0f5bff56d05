"""Health checks: one server is asked for its load, on a connection that is kept until it falls idle."""

import asyncio
import socket

import structlog

from wheatstile import interface as api
from wheatstile.config.platform import UpstreamLimits
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.errors import LineTooLongError
from wheatstile.net.line_stream import LineStream
from wheatstile.net.upstream import Upstream
from wheatstile.net.upstream_attempt import OUT_OF_DESCRIPTORS
from wheatstile.net.upstream_reply import Reply, parse_health_check_reply

log = structlog.get_logger()

REQUEST_LINE = b"STATS\r\n"
DESCRIPTOR_SHARE = 1 / 10  # of the descriptors, and no more, are for connections of health checks
MIN_CONNECTIONS = 4


class HealthCheckConnections:
    """The bound on the connections of all health checkers, and which of them are idle."""

    def __init__(self, limits: UpstreamLimits) -> None:
        self.limits = limits
        self.open_count = 0
        self.idle: dict[HealthChecker, None] = {}  # the longest idle first

    @property
    def max_open(self) -> int:
        """The most connections that health checks may have open."""
        return max(MIN_CONNECTIONS, int(self.limits.descriptors * DESCRIPTOR_SHARE))

    def close_longest_idle(self) -> None:
        """Where servers are many, the connection that has been idle longest makes way for another."""
        if self.open_count >= self.max_open and self.idle:
            longest_idle = next(iter(self.idle))
            del self.idle[longest_idle]
            longest_idle.check_requested.set()  # it wakes with nothing to check, and closes


class HealthChecker:
    """Checks one server whenever the decision module asks: exactly one HealthCheckResult for each request."""

    def __init__(
        self, upstream: Upstream, decisions: DecisionLoop, connections: HealthCheckConnections
    ) -> None:
        self.upstream = upstream
        self.pending_checks = 0  # asked for, and no result dispatched yet
        self.check_requested = asyncio.Event()
        self._decisions = decisions
        self._connections = connections
        self._stream: LineStream | None = None
        self._task: asyncio.Task[None] | None = None

    def request_check(self) -> None:
        """Check the server once more; its task is started with the first request."""
        self.pending_checks += 1
        self.check_requested.set()
        if self._task is None:
            self._task = asyncio.create_task(self._run())
            self._task.add_done_callback(self._on_task_done)

    def stop(self) -> None:
        """Stop checking: what is pending fails."""
        if self._task:
            self._task.cancel()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Fail the pending checks, be it that the server left the list.

        The module keeps a server's place in a deferred request until its check is over; one that never ends
        would stop all later checks of that server.
        """
        self._task = None
        if not task.cancelled() and (error := task.exception()):
            log.error("health_checker_failed", server=self.upstream.name, exc_info=error)
        while self.pending_checks:
            self.pending_checks -= 1
            self._decisions.dispatch(
                api.HealthCheckResult(self.upstream.name, api.AttemptOutcome.CONNECT_FAILED)
            )

    async def _run(self) -> None:
        try:
            while True:
                if not self.pending_checks:
                    await self._wait_for_request()
                else:
                    await self._check()
        finally:
            self._close()

    async def _wait_for_request(self) -> None:
        """Wait until a check is pending; without one, an idle connection is closed in time or for another."""
        self.check_requested.clear()
        if self._stream:
            self._connections.idle[self] = None
        try:
            async with asyncio.timeout(self._connections.limits.idle_timeout_s if self._stream else None):
                await self.check_requested.wait()
        except TimeoutError:
            self._close()
        finally:
            self._connections.idle.pop(self, None)
        if not self.pending_checks:  # it was idle too long, or another needs its connection
            self._close()

    async def _check(self) -> None:
        """Check the server once, and dispatch the result."""
        if self._stream and self._stream.ended():  # a server may close what is idle; that is no failed check
            self._close()
        reused = self._stream is not None
        start_us = self._decisions.now()
        reply = await self._exchange()
        if (
            reply.outcome is not api.AttemptOutcome.OK
        ):  # what it still owes would be taken for the next answer
            self._close()
        if (
            reused and reply.outcome is api.AttemptOutcome.RESET
        ):  # it was closed as idle while the check went out
            self._decisions.counters["health_checks_repeated"] += 1
            return
        self._decisions.counters[f"health_checks_{reply.outcome}"] += 1
        self.pending_checks -= 1
        elapsed_us = self._decisions.now() - start_us
        self._decisions.dispatch(
            api.HealthCheckResult(self.upstream.name, reply.outcome, elapsed_us, reply.report)
        )

    async def _exchange(self) -> Reply:
        """Connect if need be, ask, and read the answer."""
        try:
            if self._stream is None:
                await self._connect()
        except TimeoutError:
            return Reply(api.AttemptOutcome.CONNECT_FAILED)
        except OSError as error:
            if error.errno in OUT_OF_DESCRIPTORS:
                return Reply(api.AttemptOutcome.NOT_SENT)
            return Reply(api.AttemptOutcome.CONNECT_FAILED)
        assert self._stream
        try:
            async with asyncio.timeout(self._connections.limits.health_check_timeout_s):
                await self._stream.send(REQUEST_LINE)
                return parse_health_check_reply(await self._stream.read_line())
        except TimeoutError:
            return Reply(api.AttemptOutcome.TIMEOUT)
        except (OSError, LineTooLongError):
            return Reply(api.AttemptOutcome.RESET)

    async def _connect(self) -> None:
        self._connections.close_longest_idle()
        self._stream = LineStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self._connections.open_count += 1
        async with asyncio.timeout(self._connections.limits.connect_timeout_s):
            await asyncio.get_running_loop().sock_connect(self._stream.sock, self.upstream.address)

    def _close(self) -> None:
        if self._stream:
            self._stream.close()
            self._stream = None
            self._connections.open_count -= 1
