"""A client's connection from accept to close: its first line, its session, and its last line."""

import asyncio
import socket
from typing import Protocol

from wheatstile.config.platform import ClientLimits
from wheatstile.net.client_replies import ERROR_LINE
from wheatstile.net.client_stream import ClientStream
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.errors import ClientDisconnectedError, ProtocolError
from wheatstile.net.first_line_reader import FirstLineReader
from wheatstile.net.open_request import OpenRequest
from wheatstile.net.session import MigrationReason, Session, request_migration
from wheatstile.net.session_relay import SessionRelay, relay_client
from wheatstile.net.session_setup import SessionSetup, SetupContext

RETRY_AFTER_MS = 1000  # sent with a rejection during the shutdown or for lack of descriptors


class ConnectionOwner(SetupContext, Protocol):
    """The listener, as the connections that it accepted use it."""

    decisions: DecisionLoop
    limits: ClientLimits

    def register_id(self, session_id: str) -> bool:
        """Register a session's id. Return whether it is new."""

    def has_capacity(self) -> bool:
        """Return whether there are enough descriptors for another session."""

    def admit(self, connection: "ClientConnection", session: Session) -> None:
        """Register the session that the connection has requested."""

    def release(self, connection: "ClientConnection", session: Session) -> None:
        """Remove the session, which has ended."""


class ClientConnection:
    """One client's connection and its session. Owns both sides' sockets from accept to close.

    `task`: runs the connection; set by the listener.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self.task: asyncio.Task[None]
        self.session: Session | None = None
        self._owner = owner
        self._decisions = owner.decisions
        self._stream = ClientStream(sock)
        self._first_line = FirstLineReader(self._stream, owner.decisions.counters)
        self._migration: asyncio.Future[MigrationReason] = asyncio.get_running_loop().create_future()

    def has_pending_input(self) -> bool:
        """Return whether the client has sent input that has not been read."""
        return self._stream.has_pending_input()

    def migrate(self, reason: MigrationReason) -> None:
        """Tell the client to connect again, at once or as soon as its session is established."""
        request_migration(self._migration, reason)

    def reject(self) -> None:
        """Reject the client if it has not sent its first line yet."""
        self._first_line.stop()

    async def run(self) -> None:
        """Serve the client. Both sides' sockets are closed here and nowhere else."""
        reset = False
        try:
            last_line = await self._serve()
            await self._stop_reading()
            await self._stream.finish(last_line)
        except ClientDisconnectedError as error:
            reset = error.reset
        except ProtocolError:
            self._decisions.counters["protocol_errors"] += 1
            await self._stop_reading()
            await self._stream.finish(ERROR_LINE)
        finally:
            await self._stop_reading()
            if self.session:
                self.session.close_attempt(reset)
            self._stream.close(reset)

    async def _stop_reading(self) -> None:
        if self.session:
            await self.session.stop_reading()

    async def _serve(self) -> bytes:
        """Read the request and serve it. Return the client's last line; empty if there is none to send.

        Raises ProtocolError and ClientDisconnectedError.
        """
        line = await self._first_line.read()
        if not line:
            self._decisions.counters["clients_rejected_at_shutdown"] += 1
            return self._owner.rejection_line(RETRY_AFTER_MS)
        request = OpenRequest.parse(line)
        if request.service_class not in self._owner.limits.deadlines_ms:
            raise ProtocolError(f'unknown class "{request.service_class}"')
        if not self._owner.register_id(request.id):
            raise ProtocolError(f'session id "{request.id}" is in use or was used recently')
        if not self._owner.has_capacity():
            self._decisions.counters["clients_rejected_out_of_descriptors"] += 1
            return self._owner.rejection_line(RETRY_AFTER_MS)
        return await self._run_session(request)

    async def _run_session(self, request: OpenRequest) -> bytes:
        """Set up and relay the session. Return the client's last line; empty if there is none to send."""
        session = Session(request, self._stream, self._decisions, self._migration)
        self.session = session
        self._owner.admit(self, session)
        session.client_reader = asyncio.create_task(relay_client(session))
        try:
            final_answer = await SessionSetup(session, self._owner).run()
            if final_answer is not None:
                return final_answer
            return await SessionRelay(session, lambda: self._owner.release(self, session)).run()
        finally:
            self._owner.release(self, session)
