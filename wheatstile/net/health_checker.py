"""Health checks: each requests a server's load, on a connection that is reused for later checks."""

import asyncio

import structlog

from wheatstile import interface as api
from wheatstile.config.platform import UpstreamLimits
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.errors import LineTooLongError
from wheatstile.net.line_stream import LineStream
from wheatstile.net.upstream import Upstream
from wheatstile.net.upstream_attempt import connect_failure_outcome
from wheatstile.net.upstream_reply import Reply, parse_health_check_reply

log = structlog.get_logger()

HEALTH_CHECK_REQUEST = b"STATS\r\n"
DESCRIPTOR_SHARE = 1 / 10  # maximum share of the process's descriptors for health checks
MIN_CONNECTIONS = 4  # minimum for max_open, even if DESCRIPTOR_SHARE allows fewer


class HealthCheckConnections:
    """Limits the total number of connections of all health checkers, and tracks the idle ones."""

    def __init__(self, limits: UpstreamLimits) -> None:
        self.limits = limits
        self._open_count = 0
        self._idle: dict[HealthChecker, None] = {}  # longest idle first

    @property
    def max_open(self) -> int:
        """The maximum number of open health check connections."""
        return max(MIN_CONNECTIONS, int(self.limits.max_descriptors * DESCRIPTOR_SHARE))

    def close_longest_idle(self) -> None:
        """Request the close of the longest-idle connection if the maximum number is open."""
        if self._open_count >= self.max_open and self._idle:
            longest_idle = next(iter(self._idle))
            self.on_in_use(longest_idle)
            longest_idle.close_idle_connection()

    def on_opened(self) -> None:
        """Record that a connection has been opened."""
        self._open_count += 1

    def on_closed(self) -> None:
        """Record that a connection has been closed."""
        self._open_count -= 1

    def on_idle(self, checker: "HealthChecker") -> None:
        """Record that the checker's connection is now idle."""
        self._idle[checker] = None

    def on_in_use(self, checker: "HealthChecker") -> None:
        """Record that the checker's connection, if any, is no longer idle."""
        self._idle.pop(checker, None)


class HealthChecker:
    """Checks one server at the decision module's request. Dispatches one HealthCheckResult per request."""

    def __init__(
        self, upstream: Upstream, decision_loop: DecisionLoop, connections: HealthCheckConnections
    ) -> None:
        self.upstream = upstream
        self._pending_checks = 0  # number of requested checks without a result
        self._wake_up = asyncio.Event()  # set to request a check or the close of the idle connection
        self._decision_loop = decision_loop
        self._connections = connections
        self._stream: LineStream | None = None
        self._task: asyncio.Task[None] | None = None

    def request_check(self) -> None:
        """Request one check. The first request starts the checker's task."""
        self._pending_checks += 1
        self._wake_up.set()
        if self._task is None:
            self._task = asyncio.create_task(self._run())
            self._task.add_done_callback(self._on_task_done)

    def close_idle_connection(self) -> None:
        """Request that the checker's task close its connection, unless a check is pending."""
        self._wake_up.set()

    def stop(self) -> None:
        """Stop the checker's task. Pending checks fail."""
        if self._task:
            self._task.cancel()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Dispatch a failure for each pending check.

        A deferred request waits for the results of its health checks, and the decision module has at most one
        check per server in progress. A check without a result would block all later checks of that server.
        """
        self._task = None
        if not task.cancelled() and (error := task.exception()):
            log.error("health_checker_failed", server=self.upstream.name, exc_info=error)
        while self._pending_checks:
            self._pending_checks -= 1
            self._decision_loop.dispatch(
                api.HealthCheckResult(self.upstream.name, api.AttemptOutcome.CONNECT_FAILED)
            )

    async def _run(self) -> None:
        try:
            while True:
                if not self._pending_checks:
                    await self._wait_for_request()
                else:
                    await self._check()
        finally:
            self._close()

    async def _wait_for_request(self) -> None:
        """Wait until a check is requested.

        The idle connection is closed at its timeout, or when another health checker needs the descriptor.
        """
        self._wake_up.clear()
        if self._stream:
            self._connections.on_idle(self)
        try:
            async with asyncio.timeout(self._connections.limits.idle_timeout_s if self._stream else None):
                await self._wake_up.wait()
        except TimeoutError:
            self._close()
        finally:
            self._connections.on_in_use(self)
        if not self._pending_checks:
            self._close()

    async def _check(self) -> None:
        """Check the server once and dispatch the result.

        A server may close an idle connection while the check is being sent on it. A reset of a reused
        connection is therefore not a failure: the check stays pending and is repeated on a new connection.
        """
        if self._stream and self._stream.is_unusable():
            self._close()
        reused = self._stream is not None
        start_us = self._decision_loop.now()
        reply = await self._exchange()
        if reply.outcome is not api.AttemptOutcome.OK:
            self._close()  # a late answer would be mistaken for that of the next check
        if reused and reply.outcome is api.AttemptOutcome.RESET:
            self._decision_loop.counters["health_checks_repeated"] += 1
            return
        self._decision_loop.counters[f"health_checks_{reply.outcome}"] += 1
        self._pending_checks -= 1
        elapsed_us = self._decision_loop.now() - start_us
        self._decision_loop.dispatch(
            api.HealthCheckResult(self.upstream.name, reply.outcome, elapsed_us, reply.report)
        )

    async def _exchange(self) -> Reply:
        """Connect if not connected, send the request and read the answer."""
        try:
            if self._stream is None:
                await self._connect()
        except OSError as error:
            return Reply(connect_failure_outcome(error))
        assert self._stream
        try:
            async with asyncio.timeout(self._connections.limits.health_check_timeout_s):
                await self._stream.send(HEALTH_CHECK_REQUEST)
                return parse_health_check_reply(await self._stream.read_line())
        except TimeoutError:
            return Reply(api.AttemptOutcome.TIMEOUT)
        except (OSError, LineTooLongError):
            return Reply(api.AttemptOutcome.RESET)

    async def _connect(self) -> None:
        """Open a connection to the server. Raises OSError; the caller then closes the stream."""
        self._connections.close_longest_idle()
        self._stream = LineStream.unconnected()
        self._connections.on_opened()
        await self._stream.connect(self.upstream.address, self._connections.limits.connect_timeout_s)

    def _close(self) -> None:
        if self._stream:
            self._stream.close()
            self._stream = None
            self._connections.on_closed()
