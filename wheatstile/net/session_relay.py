"""Relay of an established session: forwards lines in both directions until the session ends."""

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
    """Result of a relay, as reported to the decision module.

    `reset`: whether the server reset its connection; the client connection is then reset too.
    """

    outcome: api.AttemptOutcome
    report: api.LoadReport | None = None
    reset: bool = False

    @classmethod
    def from_final_line(cls, line: bytes) -> "RelayEnd":
        """Return the result that the server's final line specifies."""
        reply = parse_final_reply(line)
        return cls(reply.outcome, reply.report)


class SessionRelay:
    """Relays the server's lines until either side disconnects or the client is migrated.

    `remove_session` is called after the connection to the server is closed.
    """

    def __init__(self, session: Session, remove_session: Callable[[], None]) -> None:
        self._session = session
        self._decision_loop = session.decision_loop
        self._remove_session = remove_session
        self._client_write_lock = asyncio.Lock()  # held during a send, so that MOVE follows a complete line
        self._final_line = b""  # the server's final line, set after it was sent to the client
        self._end = RelayEnd(api.AttemptOutcome.CANCELLED)

    async def run(self) -> bytes:
        """Run the relay. Return the last line to send to the client, or b"" for none.

        Raises ClientDisconnectedError if the client has disconnected or its connection must be reset.
        """
        assert self._session.attempt
        server = self._session.attempt.upstream.name
        start_us = self._decision_loop.now()
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
            self._remove_session()
            self._dispatch_end(server, self._decision_loop.now() - start_us)

    async def _run_until_end(self, upstream_relay: asyncio.Task[RelayEnd]) -> bytes:
        """Wait for a disconnect or a migration. Return the last line to send to the client, or b""."""
        session = self._session
        try:
            await session.run_while_client_connected(wait_for_either(upstream_relay, session.migration))
        except ProtocolError:
            return await self._stop_client_writes(ERROR_LINE)
        if upstream_relay.done():
            self._end = upstream_relay.result()
            if self._end.reset:
                raise ClientDisconnectedError(reset=True)
            return b""
        return await self._migrate(session.migration.result())

    async def _migrate(self, reason: MigrationReason) -> bytes:
        """End the relay for a migration. Return MOVE, or b"" if the server's final line was sent."""
        if reason is MigrationReason.UPSTREAM_UNRESPONSIVE:
            self._end = RelayEnd(api.AttemptOutcome.RESET)
        line = await self._stop_client_writes(MIGRATE_LINE)
        if line:
            self._decision_loop.counters[f"sessions_migrated_{reason}"] += 1
        return line

    async def _stop_client_writes(self, last_line: bytes) -> bytes:
        """Stop relaying to the client. Return `last_line`, or b"" if the server's final line was sent.

        The lock is acquired and never released, so that no line of the server can follow the last line.

        Raises ClientDisconnectedError if a line that is being sent does not complete within LINGER_S.
        """
        try:
            async with asyncio.timeout(LINGER_S):
                await self._client_write_lock.acquire()
        except TimeoutError:
            raise ClientDisconnectedError(reset=True) from None
        if self._final_line:
            self._end = RelayEnd.from_final_line(self._final_line)
            return b""
        return last_line

    def _dispatch_end(self, server: str, elapsed_us: int) -> None:
        """Report the end of the session to the decision module."""
        end = self._end
        self._decision_loop.counters[f"sessions_ended_{end.outcome}"] += 1
        self._decision_loop.dispatch(
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
        """Relay the server's complete lines to the client. Return how the server ended the session.

        Raises ClientDisconnectedError if a send to the client fails.
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
            last_line = self._process_upstream_lines(lines)
            try:
                async with self._client_write_lock:
                    await session.client.send(lines)
                    self._final_line = last_line if keyword_of(last_line) in FINAL_KEYWORDS else b""
            except OSError:
                raise ClientDisconnectedError(reset=True) from None
            lines = b""

    def _process_upstream_lines(self, lines: bytes) -> bytes:
        """Dispatch loads and record answers. Return the last of the lines, without its line ending."""
        assert self._session.attempt
        upstream = self._session.attempt.upstream
        line = b""
        for line in lines.splitlines():
            keyword, _, rest = line.partition(b" ")
            if keyword == LOAD_KEYWORD:
                self._dispatch_load(rest)
            elif keyword not in FINAL_KEYWORDS:
                upstream.on_upstream_line(self._session.id, self._decision_loop.now())
        return line

    def _upstream_end(self, reset: bool) -> RelayEnd:
        """Return the result for a closed server connection. Without a final line, the outcome is RESET."""
        if self._final_line:
            return RelayEnd.from_final_line(self._final_line)
        return RelayEnd(api.AttemptOutcome.RESET, reset=reset)

    def _dispatch_load(self, text: bytes) -> None:
        """Dispatch the load that the server reports for this session. Ignore an invalid number."""
        assert self._session.attempt
        try:
            load = float(text)
        except ValueError:
            return
        if load >= 0 and isfinite(load):
            server = self._session.attempt.upstream.name
            self._decision_loop.dispatch(api.ConnectionLoadChanged(self._session.id, server, load))


def keyword_of(line: bytes) -> bytes:
    """Return the keyword of a line, which is its first word."""
    return line.partition(b" ")[0]


async def relay_client(session: Session) -> None:
    """Relay the client's lines to the server once the session is established.

    Never returns. Raises ClientDisconnectedError when the client disconnects, and ProtocolError for a line
    that is too long or arrives before the answer.
    """
    try:
        while lines := await session.client.read_lines():
            if not session.established:
                raise ProtocolError("client sent more input before the answer")
            if session.attempt and session.attempt.stream:
                session.attempt.upstream.on_client_line(session.id, session.decision_loop.now())
                with suppress(OSError):  # relay_upstream handles a server disconnect
                    await session.attempt.stream.send(lines)
    except LineTooLongError as error:
        raise ProtocolError(str(error)) from None
    except OSError:
        raise ClientDisconnectedError(reset=True) from None
    raise ClientDisconnectedError
