"""Attempt to open a session at a server. The connection of a successful attempt is kept for the session."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wheatstile import interface as api
from wheatstile.config.platform import UpstreamLimits
from wheatstile.net.errors import LineTooLongError, is_out_of_descriptors
from wheatstile.net.line_stream import LineStream
from wheatstile.net.upstream import Upstream
from wheatstile.net.upstream_reply import parse_final_reply

ESTABLISHED_PREFIX = b"UP "
MIN_TIMEOUT_MS = 1  # smallest timeout that an open line can carry

OpenLineProvider = Callable[[int], bytes | None]
"""Returns the open line for a timeout in milliseconds, or None if nothing may be sent.

It is called in the same iteration of the event loop in which the line is sent.
"""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt.

    Attributes:
        outcome: OK if the session is established, or if the server ended it immediately with `BYE`.
        line: the server's answer, or b"" if there is none.
        report: the load report in the answer, if any.
        established: whether the session is established.
    """

    outcome: api.AttemptOutcome
    line: bytes = b""
    report: api.LoadReport | None = None
    established: bool = False

    @property
    def counter_suffix(self) -> str:
        """The last part of the counter name for this result."""
        return "established" if self.established else self.outcome.value


class UpstreamAttempt:
    """One attempt to open a session, with its connection to the server. The session closes it."""

    __slots__ = ("_limits", "stream", "upstream")

    def __init__(self, upstream: Upstream, limits: UpstreamLimits) -> None:
        self.upstream = upstream
        self._limits = limits
        self.stream: LineStream | None = None

    async def connect_and_open(
        self, open_line: OpenLineProvider, timeout_s: float, reopening: bool = False
    ) -> AttemptResult:
        """Connect, send the open line and wait for the server's answer.

        The server may have processed the request once the last byte of the line has been sent. Any failure
        before that is reported as CONNECT_FAILED or NOT_SENT.

        Args:
            open_line: returns the line to send.
            timeout_s: timeout of the whole attempt.
            reopening: whether the session was established before this process started. Only its previous
                server can serve it, so connecting may take all of `timeout_s`, and it may be draining.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        connect_timeout_s = timeout_s if reopening else min(self._limits.connect_timeout_s, timeout_s)
        failure = await self._connect(connect_timeout_s)
        if failure is None:
            failure = await self._send_open_line(open_line, deadline_s, reopening)
        if failure is not None:
            return AttemptResult(failure)
        return await self._read_answer(deadline_s)

    async def _connect(self, timeout_s: float) -> api.AttemptOutcome | None:
        """Connect to the server. Return None on success, else the outcome of the attempt."""
        try:
            self.stream = LineStream.unconnected()
            await self.stream.connect(self.upstream.address, timeout_s)
        except OSError as error:
            return connect_failure_outcome(error)
        return None

    async def _send_open_line(
        self, open_line: OpenLineProvider, deadline_s: float, reopening: bool
    ) -> api.AttemptOutcome | None:
        """Send the open line. Return None on success, else the outcome of the attempt.

        All conditions are checked in the same iteration of the event loop as the send: during the connect,
        the client may have disconnected, the server may have started draining, or the timeout may have
        expired.
        """
        assert self.stream
        remaining_s = deadline_s - asyncio.get_running_loop().time()
        if remaining_s <= 0:
            return api.AttemptOutcome.NOT_SENT
        if self.upstream.draining_or_gone and not reopening:
            return api.AttemptOutcome.NOT_SENT
        line = open_line(max(MIN_TIMEOUT_MS, int(remaining_s * 1000)))
        if line is None:
            return api.AttemptOutcome.NOT_SENT
        try:
            unsent = self.stream.send_now(line)  # the send buffer of a new connection holds a whole line
            if unsent:
                async with asyncio.timeout_at(deadline_s):
                    await self.stream.send(unsent)
        except TimeoutError:
            return api.AttemptOutcome.TIMEOUT  # the last byte may have been sent as the timeout expired
        except OSError:
            return api.AttemptOutcome.CONNECT_FAILED
        return None

    async def _read_answer(self, deadline_s: float) -> AttemptResult:
        """Wait for the server's first line and return the attempt's result."""
        assert self.stream
        try:
            async with asyncio.timeout_at(deadline_s):
                line = await self.stream.read_line()
        except TimeoutError:
            return AttemptResult(api.AttemptOutcome.TIMEOUT)
        except OSError:
            return AttemptResult(api.AttemptOutcome.RESET)
        except LineTooLongError:
            return AttemptResult(api.AttemptOutcome.ERROR)
        if not line:
            return AttemptResult(api.AttemptOutcome.RESET)
        if line.startswith(ESTABLISHED_PREFIX):
            return AttemptResult(api.AttemptOutcome.OK, line, established=True)
        reply = parse_final_reply(line)
        return AttemptResult(reply.outcome, line, reply.report)

    def close(self, reset: bool = False) -> None:
        """Close the connection, with a TCP reset if `reset` is true."""
        if self.stream:
            self.stream.close(reset)
            self.stream = None


def connect_failure_outcome(error: OSError) -> api.AttemptOutcome:
    """Return the outcome of an attempt or a health check whose connect failed with `error`.

    If this process is out of file descriptors, that is not a failure of the server.
    """
    if is_out_of_descriptors(error):
        return api.AttemptOutcome.NOT_SENT
    return api.AttemptOutcome.CONNECT_FAILED
