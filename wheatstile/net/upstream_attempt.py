"""One attempt to open a session at a server, and the connection that it becomes."""

import asyncio
import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass

from wheatstile import interface as api
from wheatstile.config.platform import UpstreamLimits
from wheatstile.net.errors import LineTooLongError
from wheatstile.net.line_stream import LineStream
from wheatstile.net.upstream import Upstream
from wheatstile.net.upstream_reply import parse_final_reply

OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
ESTABLISHED_PREFIX = b"UP "

OpenLineProvider = Callable[[int], bytes | None]
"""Called with the milliseconds left, in the turn in which the line goes out: the line; None: send nothing."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended; OK if it is established, and also if the server ended it politely at once."""

    outcome: api.AttemptOutcome
    line: bytes = b""  # the server's answer, if there is one
    report: api.LoadReport | None = None
    established: bool = False

    @property
    def label(self) -> str:
        """The result's name in a counter."""
        return "established" if self.established else self.outcome.value


class UpstreamAttempt:
    """One attempt to open a session, and the connection that it becomes. Its session closes it."""

    __slots__ = ("_limits", "stream", "upstream")

    def __init__(self, upstream: Upstream, limits: UpstreamLimits) -> None:
        self.upstream = upstream
        self._limits = limits
        self.stream: LineStream | None = None

    async def connect_and_open(
        self, open_line: OpenLineProvider, timeout_s: float, reopening: bool = False
    ) -> AttemptResult:
        """Connect, send the open line, and wait for the server's answer.

        Whether the attempt may have run turns on the line's last byte: until it is written, whatever fails is
        a failed connect. `reopening` is for a session that was established before this process started: it
        has no other server to go to, so connecting may take all its time, and may go to a server that drains.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        failure = await self._connect(
            timeout_s if reopening else min(self._limits.connect_timeout_s, timeout_s)
        )
        if failure is None:
            failure = await self._send_open_line(open_line, deadline_s, reopening)
        if failure is not None:
            return AttemptResult(failure)
        return await self._read_answer(deadline_s)

    async def _connect(self, timeout_s: float) -> api.AttemptOutcome | None:
        """Connect; returns why not."""
        try:
            self.stream = LineStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().sock_connect(self.stream.sock, self.upstream.address)
        except OSError as error:  # a TimeoutError is one
            # Without a descriptor of our own nothing was sent, and the server has not failed.
            if error.errno in OUT_OF_DESCRIPTORS:
                return api.AttemptOutcome.NOT_SENT
            return api.AttemptOutcome.CONNECT_FAILED
        return None

    async def _send_open_line(
        self, open_line: OpenLineProvider, deadline_s: float, reopening: bool
    ) -> api.AttemptOutcome | None:
        """Send the open line; returns why not.

        Whether it is sent at all is decided in the turn in which it goes out: while the connection came up,
        the client may have left, the server may have begun to drain, and the time may have run out.
        """
        assert self.stream
        remaining_s = deadline_s - asyncio.get_running_loop().time()
        if remaining_s <= 0 or (self.upstream.leaving and not reopening):
            return api.AttemptOutcome.NOT_SENT  # a server that drains gets nothing new
        line = open_line(max(1, int(remaining_s * 1000)))
        if line is None:
            return api.AttemptOutcome.NOT_SENT
        try:
            if unsent := self.stream.send_now(line):  # a new connection takes 4 KiB at once
                async with asyncio.timeout_at(deadline_s):
                    await self.stream.send(unsent)
        except TimeoutError:
            return api.AttemptOutcome.TIMEOUT  # its last byte may have gone out in the same turn
        except OSError:
            return api.AttemptOutcome.CONNECT_FAILED
        return None

    async def _read_answer(self, deadline_s: float) -> AttemptResult:
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
        """Close the connection, as a reset if the client's side ended in one."""
        if self.stream:
            self.stream.close(reset)
            self.stream = None
