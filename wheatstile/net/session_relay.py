"""The relay of an established session: lines both ways, and how it ends."""

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
    """How a relay ended, as the decision module is told."""

    outcome: api.AttemptOutcome
    report: api.LoadReport | None = None
    reset: bool = False  # the server ended by a reset, which the client gets too


class SessionRelay:
    """Passes the server's lines on, until either side ends or the client is to connect again."""

    def __init__(self, session: Session, release: Callable[[], None]) -> None:
        self._session = session
        self._decisions = session.decisions
        self._release = release  # the session no longer stands
        self._client_writes = asyncio.Lock()  # held while lines go out, so that MOVE goes between two
        self._final_line = b""  # the server's last line, if it has gone to the client as its last
        self._end = RelayEnd(api.AttemptOutcome.CANCELLED)

    async def run(self) -> bytes:
        """Relay until the end; returns the client's last line, empty if it is owed none.

        Raises ClientDisconnectedError if the client's side has ended, or is to end by a reset.
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
        reason = session.migration.result()
        if reason is MigrationReason.UPSTREAM_UNRESPONSIVE:
            self._end = RelayEnd(api.AttemptOutcome.RESET)
        line = await self._end_client_lines(MIGRATE_LINE)
        if line:
            self._decisions.counters[f"sessions_migrated_{reason}"] += 1
        return line

    async def _end_client_lines(self, last_line: bytes) -> bytes:
        """Let no further line of the server's go out; returns the client's last line, empty if it has it."""
        try:
            async with asyncio.timeout(LINGER_S):
                await self._client_writes.acquire()  # and keep it: no further line may follow the last
        except TimeoutError:  # a client that takes nothing stands in the middle of a line
            raise ClientDisconnectedError(reset=True) from None
        if self._final_line:  # the server's last line was on its way
            reply = parse_final_reply(self._final_line)
            self._end = RelayEnd(reply.outcome, reply.report)
            return b""
        return last_line

    def _dispatch_end(self, server: str, elapsed_us: int) -> None:
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
        """Pass the server's lines to the client, whole ones only; returns how the server ended it."""
        session = self._session
        assert session.attempt
        assert session.attempt.stream
        upstream = session.attempt.upstream
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
            for line in lines.splitlines():
                keyword, _, rest = line.partition(b" ")
                if keyword == LOAD_KEYWORD:
                    self._dispatch_load(rest)
                elif keyword not in FINAL_KEYWORDS:
                    upstream.on_upstream_line(session.id, self._decisions.now())
            try:
                async with self._client_writes:
                    await session.client.send(lines)
                    self._final_line = line if line.startswith(FINAL_KEYWORDS) else b""
            except OSError:
                raise ClientDisconnectedError(reset=True) from None
            lines = b""

    def _upstream_end(self, reset: bool) -> RelayEnd:
        if not self._final_line:
            return RelayEnd(api.AttemptOutcome.RESET, reset=reset)
        reply = parse_final_reply(self._final_line)
        return RelayEnd(reply.outcome, reply.report)

    def _dispatch_load(self, text: bytes) -> None:
        """Tell the module a load that the server gives for this session; what is no number is passed over."""
        assert self._session.attempt
        try:
            load = float(text)
        except ValueError:
            return
        if load >= 0 and isfinite(load):
            server = self._session.attempt.upstream.name
            self._decisions.dispatch(api.ConnectionLoadChanged(self._session.id, server, load))


async def relay_client(session: Session) -> None:
    """Pass the client's lines to the server once the session stands; ends only with the client's side.

    Raises ClientDisconnectedError, or ProtocolError for a line before the answer or one that is too long.
    """
    try:
        while lines := await session.client.read_lines():
            if not session.established:
                raise ProtocolError("more than one line before the answer")
            if session.attempt and session.attempt.stream:
                session.attempt.upstream.on_client_line(session.id, session.decisions.now())
                with suppress(OSError):  # the server's end is for relay_upstream to see
                    await session.attempt.stream.send(lines)
    except LineTooLongError as error:
        raise ProtocolError(str(error)) from None
    except OSError:
        raise ClientDisconnectedError(reset=True) from None
    raise ClientDisconnectedError
