"""Listener that accepts clients and keeps the process within its file descriptor limit."""

import asyncio
import errno
import os
import socket
from collections import OrderedDict
from contextlib import suppress

import structlog

from wheatstile.config.platform import ClientLimits
from wheatstile.net.client_connection import RETRY_AFTER_MS, ClientConnection
from wheatstile.net.client_replies import rejection_line
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.errors import is_out_of_descriptors
from wheatstile.net.line_stream import LINE_LIMIT
from wheatstile.net.open_request import OpenRequest
from wheatstile.net.session import Session
from wheatstile.net.upstream_pool import UpstreamPool

log = structlog.get_logger()

MAX_RECENT_IDS = 1 << 12  # recently used session ids that are kept, to detect a repeated request
RESERVED_DESCRIPTORS = 20  # used by standard streams, event loop, listener, discovery and spare descriptor
PENDING_SHARE = 1 / 8  # minimum share of the descriptors for connections without a session
DESCRIPTORS_PER_SESSION = 2  # the client connection and the server connection
ACCEPT_RETRY_S = 0.01


class ClientListener:
    """Accepts clients and owns their connections until they end.

    A connection is pending while it has no session: before the client's request, and while the connection
    is being closed. Some descriptors are reserved for pending connections, so that every client gets an
    answer. When all of them are in use, the oldest pending connection is evicted.

    Attributes:
        limits: the current limits; a configuration reload replaces them.
        connections: all connections by task, oldest first.
    """

    def __init__(self, decision_loop: DecisionLoop, upstreams: UpstreamPool, limits: ClientLimits) -> None:
        self.decision_loop = decision_loop
        self.upstreams = upstreams
        self.limits = limits
        self.connections: dict[asyncio.Task[None], ClientConnection] = {}
        self._pending: dict[ClientConnection, asyncio.Task[None]] = {}  # oldest first
        self._recent_ids: OrderedDict[str, None] = OrderedDict()  # oldest first
        self._spare_descriptor = _open_spare_descriptor()

    def register_id(self, session_id: str) -> bool:
        """Record a session id as used. Return False for a repeated id, which would duplicate a session.

        The ids of open sessions are checked separately: they may have been dropped from the recent ids.
        """
        if session_id in self._recent_ids or session_id in self.decision_loop.sessions:
            return False
        self._recent_ids[session_id] = None
        if len(self._recent_ids) > MAX_RECENT_IDS:
            self._recent_ids.popitem(last=False)
        return True

    def max_timeout_ms(self, request: OpenRequest) -> int:
        """Return the lower of the request's timeout and the deadline of its class.

        Raises KeyError for an unknown class.
        """
        return min(request.timeout_ms, self.limits.deadlines_ms[request.service_class])

    def add_session(self, connection: ClientConnection, session: Session) -> None:
        """Register the session that was requested on a connection, which is then no longer pending."""
        self._pending.pop(connection, None)
        self.decision_loop.sessions[session.id] = session

    def remove_session(self, connection: ClientConnection, session: Session) -> None:
        """Remove a session that has ended. The connection is pending until it is closed."""
        if self.decision_loop.sessions.pop(session.id, None):
            self._pending[connection] = connection.task

    def _free_descriptors(self) -> int:
        """Return the number of descriptors that neither sessions nor the balancer itself need."""
        used_by_sessions = DESCRIPTORS_PER_SESSION * len(self.decision_loop.sessions)
        reserved = RESERVED_DESCRIPTORS + self.upstreams.max_health_check_connections
        return self.limits.max_descriptors - reserved - used_by_sessions

    def _reserved_for_pending(self) -> int:
        """Return the number of descriptors that are reserved for pending connections."""
        return int(self.limits.max_descriptors * PENDING_SHARE)

    def has_capacity(self) -> bool:
        """Return whether another session would leave enough descriptors for pending connections."""
        return self._free_descriptors() - DESCRIPTORS_PER_SESSION >= self._reserved_for_pending()

    def _evict_oldest_pending(self) -> None:
        """Close the oldest pending connection if there are too many.

        Clients normally send their first line immediately, so the oldest pending connections are idle. A
        connection with unread input is skipped, since its request may have just arrived. If all pending
        connections have unread input, the oldest one is closed.
        """
        max_pending = max(self._free_descriptors(), self._reserved_for_pending())
        if self._pending and len(self._pending) >= max_pending:
            oldest = next(iter(self._pending))
            evicted = next((pending for pending in self._pending if not pending.has_pending_input()), oldest)
            self._pending.pop(evicted).cancel()
            self.decision_loop.counters["client_connections_evicted"] += 1

    def rejection_line(self, retry_after_ms: int) -> bytes:
        """Return the line that rejects a client. The settings limit the retry-after time in it."""
        return rejection_line(min(retry_after_ms, self.limits.max_retry_after_ms))

    async def serve(self, listener: socket.socket) -> None:
        """Accept clients until cancelled. After a failed accept, wait ACCEPT_RETRY_S and continue."""
        loop = asyncio.get_running_loop()
        while True:
            failed: asyncio.Future[None] = loop.create_future()
            loop.add_reader(listener, self.accept, listener, failed)
            try:
                await failed
            finally:
                loop.remove_reader(listener)
            await asyncio.sleep(ACCEPT_RETRY_S)

    def accept(self, listener: socket.socket, failed: asyncio.Future[None] | None = None) -> bool:
        """Accept one client and start its connection, in one iteration of the event loop.

        Returns False if the backlog is empty or the accept failed. If it failed, `failed` is completed.
        """
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            self._on_accept_error(listener, error)
            if failed and not failed.done():
                failed.set_result(None)
            return False
        self._evict_oldest_pending()
        connection = ClientConnection(self, sock)
        connection.task = asyncio.create_task(connection.run())
        self.connections[connection.task] = connection
        self._pending[connection] = connection.task
        connection.task.add_done_callback(self._on_connection_done)
        return True

    def _on_accept_error(self, listener: socket.socket, error: OSError) -> None:
        self.decision_loop.counters[f"accepts_failed_{errno.errorcode.get(error.errno or 0, '?')}"] += 1
        if is_out_of_descriptors(error):
            self._reject_with_spare_descriptor(listener)

    def _reject_with_spare_descriptor(self, listener: socket.socket) -> None:
        """Free the spare descriptor, and use it to accept and reject one client.

        Otherwise clients in the backlog would get no answer, and every retry of `serve` would fail.
        """
        os.close(self._spare_descriptor)
        try:
            with suppress(OSError):
                sock, _ = listener.accept()
                self._reject(sock)
        finally:
            self._spare_descriptor = _open_spare_descriptor()

    def _reject(self, sock: socket.socket) -> None:
        """Send a rejection and close the socket."""
        self.decision_loop.counters["clients_rejected_out_of_descriptors"] += 1
        with sock, suppress(OSError):
            sock.setblocking(False)
            sock.send(self.rejection_line(RETRY_AFTER_MS))
            sock.recv(LINE_LIMIT)  # closing a socket with unread input would reset the connection

    def _on_connection_done(self, task: asyncio.Task[None]) -> None:
        connection = self.connections.pop(task)
        self._pending.pop(connection, None)
        if not task.cancelled() and (error := task.exception()):
            self.decision_loop.counters["client_connections_failed"] += 1
            session_id = connection.session.id if connection.session else ""
            log.error("client_connection_failed", session_id=session_id, exc_info=error)


def _open_spare_descriptor() -> int:
    """Return a descriptor that can be closed to free one for an accept."""
    return os.open(os.devnull, os.O_RDONLY)
