"""The relay of an established session: lines in both directions, and how it ends."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from math import isfinite

from wheatstile import interface as api
from wheatstile.net.client_replies import ERROR_LINE, MIGRATE_LINE
from wheatstile.net.errors import ClientDisconnectedError, LineTooLongError, ProtocolError
from wheatstile.net.line_stream import LINGER_S
from wheatstile.net.session import MigrationReason, Session, wait_for_either
from wheatstile.net.upstream_reply import parse_final_reply

LOAD_KEYWORD = b"LOAD"
FINAL_KEYWORDS = (b"BYE", b"MOVE")


@dataclass(frozen=True, slots=True)
class RelayEnd:
    """How a relay ended, as reported to the decision module.

    `reset`: whether the server reset its connection; the client's connection is then reset too.
    """

    outcome: api.AttemptOutcome
    report: api.LoadReport | None = None
    reset: bool = False

    @classmethod
    def from_final_line(cls, line: bytes) -> "RelayEnd":
        """Return the end that the server's last line describes."""
        reply = parse_final_reply(line)
        return cls(reply.outcome, reply.report)


class SessionRelay:
    """Relays the server's lines until either side ends, or until the client has to connect again.

    `release` is called once the relay has ended and the connection to the server is closed.
    """

    def __init__(self, session: Session, release: Callable[[], None]) -> None:
        self._session = session
        self._decisions = session.decisions
        self._release = release
        self._client_writes = asyncio.Lock()  # held during a write, so that MOVE is sent between two lines
        self._final_line = b""  # the server's final line, once it has been sent to the client
        self._end = RelayEnd(api.AttemptOutcome.CANCELLED)

    async def run(self) -> bytes:
        """Relay until the end. Return the client's last line; empty if there is none to send.

        Raises ClientDisconnectedError if the client's side has ended or must be reset.
        """
        assert self._session.attempt
        server = self._session.attempt.upstream.name
        start_us = self._decisions.now()
        reset = False
        upstream_relay = asyncio.create_task(self.relay_upstream())
        try:
            return await self._run_until_end(upstream_relay)
        except ClientDisconnectedError as error:
            reset = error.reset
            raise
        finally:
            upstream_relay.cancel()
            await asyncio.wait([upstream_relay])
            self._session.close_attempt(reset)
            self._release()
            self._dispatch_end(server, self._decisions.now() - start_us)

    async def _run_until_end(self, upstream_relay: asyncio.Task[RelayEnd]) -> bytes:
        """Wait for either side's end or a migration. Return the client's last line."""
        session = self._session
        try:
            await session.unless_client_ends(wait_for_either(upstream_relay, session.migration))
        except ProtocolError:
            return await self._end_client_lines(ERROR_LINE)
        if upstream_relay.done():
            self._end = upstream_relay.result()
            if self._end.reset:
                raise ClientDisconnectedError(reset=True)
            return b""
        return await self._migrate(session.migration.result())

    async def _migrate(self, reason: MigrationReason) -> bytes:
        """End the relay for a migration. Return the client's last line; empty if the server's was sent."""
        if reason is MigrationReason.UPSTREAM_UNRESPONSIVE:
            self._end = RelayEnd(api.AttemptOutcome.RESET)
        line = await self._end_client_lines(MIGRATE_LINE)
        if line:
            self._decisions.counters[f"sessions_migrated_{reason}"] += 1
        return line

    async def _end_client_lines(self, last_line: bytes) -> bytes:
        """Stop relaying lines to the client. Return `last_line`; empty if the server's final line was sent.

        The lock is acquired and never released, so that no line of the server can follow the last one.

        Raises ClientDisconnectedError if the client has not taken the line being sent within LINGER_S.
        """
        try:
            async with asyncio.timeout(LINGER_S):
                await self._client_writes.acquire()
        except TimeoutError:
            raise ClientDisconnectedError(reset=True) from None
        if self._final_line:
            self._end = RelayEnd.from_final_line(self._final_line)
            return b""
        return last_line

    def _dispatch_end(self, server: str, elapsed_us: int) -> None:
        """Report the end of the session to the decision module."""
        end = self._end
        self._decisions.counters[f"sessions_ended_{end.outcome}"] += 1
        self._decisions.dispatch(
            api.AttemptEnded(
                self._session.id,
                self._session.attempt_number,
                server,
                end.outcome,
                elapsed_us,
                closed=True,
                report=end.report,
            )
        )

    async def relay_upstream(self) -> RelayEnd:
        """Relay the server's lines to the client, only complete ones, and return how the server ended.

        Raises ClientDisconnectedError if a write to the client fails.
        """
        session = self._session
        assert session.attempt
        assert session.attempt.stream
        stream = session.attempt.stream
        lines = session.unsent_answer
        while True:
            try:
                lines = lines or await stream.read_lines()
            except OSError:
                return self._upstream_end(reset=True)
            except LineTooLongError:
                return RelayEnd(api.AttemptOutcome.ERROR)
            if not lines:
                return self._upstream_end(reset=False)
            last_line = self._inspect(lines)
            try:
                async with self._client_writes:
                    await session.client.send(lines)
                    self._final_line = last_line if keyword_of(last_line) in FINAL_KEYWORDS else b""
            except OSError:
                raise ClientDisconnectedError(reset=True) from None
            lines = b""

    def _inspect(self, lines: bytes) -> bytes:
        """Dispatch loads and record answers in the server's lines. Return the last line without its end."""
        assert self._session.attempt
        upstream = self._session.attempt.upstream
        line = b""
        for line in lines.splitlines():
            keyword, _, rest = line.partition(b" ")
            if keyword == LOAD_KEYWORD:
                self._dispatch_load(rest)
            elif keyword not in FINAL_KEYWORDS:
                upstream.on_upstream_line(self._session.id, self._decisions.now())
        return line

    def _upstream_end(self, reset: bool) -> RelayEnd:
        """Return how the server ended its connection; without a final line, that counts as a reset."""
        if self._final_line:
            return RelayEnd.from_final_line(self._final_line)
        return RelayEnd(api.AttemptOutcome.RESET, reset=reset)

    def _dispatch_load(self, text: bytes) -> None:
        """Dispatch this session's load as the server reports it. Ignore an invalid number."""
        assert self._session.attempt
        try:
            load = float(text)
        except ValueError:
            return
        if load >= 0 and isfinite(load):
            server = self._session.attempt.upstream.name
            self._decisions.dispatch(api.ConnectionLoadChanged(self._session.id, server, load))


def keyword_of(line: bytes) -> bytes:
    """Return the first word of a line, which gives its meaning."""
    return line.partition(b" ")[0]


async def relay_client(session: Session) -> None:
    """Relay the client's lines to the server once the session is established, until the client's side ends.

    Never returns. Raises ClientDisconnectedError at the client's end, and ProtocolError for a line that
    arrives before the answer or is too long.
    """
    try:
        while lines := await session.client.read_lines():
            if not session.established:
                raise ProtocolError("more than one line before the answer")
            if session.attempt and session.attempt.stream:
                session.attempt.upstream.on_client_line(session.id, session.decisions.now())
                with suppress(OSError):  # relay_upstream handles the server's end
                    await session.attempt.stream.send(lines)
    except LineTooLongError as error:
        raise ProtocolError(str(error)) from None
    except OSError:
        raise ClientDisconnectedError(reset=True) from None
    raise ClientDisconnectedError
