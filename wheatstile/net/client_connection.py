"""Handling of one client connection from accept to close."""

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

RETRY_AFTER_MS = 1000  # sent with rejections during the shutdown and when file descriptors run out


class ConnectionOwner(SetupContext, Protocol):
    """The part of the listener's interface that a client connection uses."""

    decision_loop: DecisionLoop
    limits: ClientLimits

    def register_id(self, session_id: str) -> bool:
        """Record a session id as used. Return False if it was already in use or used recently."""

    def has_capacity(self) -> bool:
        """Return whether enough file descriptors are free for another session."""

    def add_session(self, connection: "ClientConnection", session: Session) -> None:
        """Register the session that the client has requested on this connection."""

    def remove_session(self, connection: "ClientConnection", session: Session) -> None:
        """Remove a session that has ended. Does nothing if it has already been removed."""


class ClientConnection:
    """One client connection and its session. Owns the sockets to the client and to the server.

    `task`: the task that executes `run`; set by the listener.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self.task: asyncio.Task[None]
        self.session: Session | None = None
        self._owner = owner
        self._decision_loop = owner.decision_loop
        self._stream = ClientStream(sock)
        self._first_line_reader = FirstLineReader(self._stream, owner.decision_loop.counters)
        self._migration: asyncio.Future[MigrationReason] = asyncio.get_running_loop().create_future()

    def has_pending_input(self) -> bool:
        """Return whether the socket has unread input from the client."""
        return self._stream.has_pending_input()

    def migrate(self, reason: MigrationReason) -> None:
        """Tell the client to reconnect, now or as soon as its session is established."""
        request_migration(self._migration, reason)

    def reject(self) -> None:
        """Reject the client unless its first line has already arrived."""
        self._first_line_reader.stop()

    async def run(self) -> None:
        """Serve the client, then close both connections. The client's socket is closed only here."""
        reset = False
        try:
            last_line = await self._serve()
            await self._stop_reading()
            await self._stream.send_last_line(last_line)
        except ClientDisconnectedError as error:
            reset = error.reset
        except ProtocolError:
            self._decision_loop.counters["protocol_errors"] += 1
            await self._stop_reading()
            await self._stream.send_last_line(ERROR_LINE)
        finally:
            await self._stop_reading()
            if self.session:
                self.session.close_attempt(reset)
            self._stream.close(reset)

    async def _stop_reading(self) -> None:
        if self.session:
            await self.session.stop_reading()

    async def _serve(self) -> bytes:
        """Read the request and serve it. Return the last line to send to the client, or b"" for none.

        Raises ProtocolError and ClientDisconnectedError.
        """
        line = await self._first_line_reader.read()
        if not line:
            self._decision_loop.counters["clients_rejected_at_shutdown"] += 1
            return self._owner.rejection_line(RETRY_AFTER_MS)
        request = OpenRequest.parse(line)
        if request.service_class not in self._owner.limits.deadlines_ms:
            raise ProtocolError(f'unknown class "{request.service_class}"')
        if not self._owner.register_id(request.id):
            raise ProtocolError(f'session id "{request.id}" is in use or was used recently')
        if not self._owner.has_capacity():
            self._decision_loop.counters["clients_rejected_out_of_descriptors"] += 1
            return self._owner.rejection_line(RETRY_AFTER_MS)
        return await self._run_session(request)

    async def _run_session(self, request: OpenRequest) -> bytes:
        """Set up and relay the session. Return the last line to send to the client, or b"" for none."""
        session = Session(request, self._stream, self._decision_loop, self._migration)
        self.session = session
        self._owner.add_session(self, session)
        session.client_reader = asyncio.create_task(relay_client(session))
        try:
            final_answer = await SessionSetup(session, self._owner).run()
            if final_answer is not None:
                return final_answer
            return await SessionRelay(session, lambda: self._owner.remove_session(self, session)).run()
        finally:
            self._owner.remove_session(self, session)
