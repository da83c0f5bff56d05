"""Accepts clients, and bounds their number by the descriptors that the process may open."""

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

MAX_RECENT_IDS = 1 << 12  # session ids that are kept to detect a repeat, besides those of open sessions
RESERVED_DESCRIPTORS = 20  # standard streams, event loop, listener, discovery, the spare descriptor
PENDING_SHARE = 1 / 8  # share of the descriptors for connections without a session
DESCRIPTORS_PER_SESSION = 2  # the client's connection and the server's
ACCEPT_RETRY_S = 0.01


class ClientListener:
    """Accepts clients and owns their connections until they end.

    A connection without a session is pending: it has not requested one yet, or it is being closed. Some
    descriptors are kept for pending connections, so that each client can be answered. When these are in use,
    the oldest pending connection is evicted.

    Attributes:
        limits: the limits in force; a reload replaces them.
        connections: all connections by their tasks, the oldest first.
    """

    def __init__(self, decisions: DecisionLoop, upstreams: UpstreamPool, limits: ClientLimits) -> None:
        self.decisions = decisions
        self.upstreams = upstreams
        self.limits = limits
        self.connections: dict[asyncio.Task[None], ClientConnection] = {}
        self._pending: dict[ClientConnection, asyncio.Task[None]] = {}  # the oldest first
        self._recent_ids: OrderedDict[str, None] = OrderedDict()  # the oldest first
        self._spare_descriptor = _open_spare_descriptor()

    def register_id(self, session_id: str) -> bool:
        """Register a session's id. Return whether it is new; a repeat would duplicate the session.

        The ids of open sessions are checked too, since they may be older than all ids that are kept.
        """
        if session_id in self._recent_ids or session_id in self.decisions.sessions:
            return False
        self._recent_ids[session_id] = None
        if len(self._recent_ids) > MAX_RECENT_IDS:
            self._recent_ids.popitem(last=False)
        return True

    def max_wait_ms(self, request: OpenRequest) -> int:
        """Return how many milliseconds the request's client waits at most. Raises KeyError for its class."""
        return min(request.wait_ms, self.limits.deadlines_ms[request.service_class])

    def admit(self, connection: ClientConnection, session: Session) -> None:
        """Register the session that a connection has requested. The connection is no longer pending."""
        self._pending.pop(connection, None)
        self.decisions.sessions[session.id] = session

    def release(self, connection: ClientConnection, session: Session) -> None:
        """Remove a session that has ended. Its connection is pending until its client has the last line."""
        if self.decisions.sessions.pop(session.id, None):
            self._pending[connection] = connection.task

    def _free_descriptors(self) -> int:
        """Return the number of descriptors that are not needed by sessions or by the balancer itself."""
        used_by_sessions = DESCRIPTORS_PER_SESSION * len(self.decisions.sessions)
        reserved = RESERVED_DESCRIPTORS + self.upstreams.max_health_check_connections
        return self.limits.descriptors - reserved - used_by_sessions

    def _min_pending(self) -> int:
        """Return the number of descriptors that are kept for pending connections."""
        return int(self.limits.descriptors * PENDING_SHARE)

    def has_capacity(self) -> bool:
        """Return whether another session leaves enough descriptors for pending connections."""
        return self._free_descriptors() - DESCRIPTORS_PER_SESSION >= self._min_pending()

    def _evict_oldest_pending(self) -> None:
        """Close the oldest pending connection if there are too many.

        A client normally sends its first line at once, so the oldest pending connections are idle ones. A
        connection with unread input is skipped, unless all have some: its request may have just arrived.
        """
        max_pending = max(self._free_descriptors(), self._min_pending())
        if self._pending and len(self._pending) >= max_pending:
            oldest = next(iter(self._pending))
            evicted = next((pending for pending in self._pending if not pending.has_pending_input()), oldest)
            self._pending.pop(evicted).cancel()
            self.decisions.counters["client_connections_evicted"] += 1

    def rejection_line(self, retry_after_ms: int) -> bytes:
        """Return the line that rejects a client; the time to retry after is bounded by the settings."""
        return rejection_line(min(retry_after_ms, self.limits.max_retry_after_ms))

    async def serve(self, listener: socket.socket) -> None:
        """Accept clients until cancelled. After an accept that failed, wait ACCEPT_RETRY_S and go on."""
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
        """Accept one client and start its connection, in one turn of the event loop.

        Returns False if the backlog is empty or the accept failed. A failure completes `failed`.
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
        self.decisions.counters[f"accepts_failed_{errno.errorcode.get(error.errno or 0, '?')}"] += 1
        if is_out_of_descriptors(error):
            self._reject_on_spare_descriptor(listener)

    def _reject_on_spare_descriptor(self, listener: socket.socket) -> None:
        """Close the spare descriptor while one client is accepted and rejected.

        Without it, the clients in the backlog would get no answer, and `serve` would retry in vain.
        """
        os.close(self._spare_descriptor)
        try:
            with suppress(OSError):
                sock, _ = listener.accept()
                self._reject(sock)
        finally:
            self._spare_descriptor = _open_spare_descriptor()

    def _reject(self, sock: socket.socket) -> None:
        """Send the rejection, and close the socket."""
        self.decisions.counters["clients_rejected_out_of_descriptors"] += 1
        with sock, suppress(OSError):
            sock.setblocking(False)
            sock.send(self.rejection_line(RETRY_AFTER_MS))
            sock.recv(LINE_LIMIT)  # closing over an unread request would reset the connection

    def _on_connection_done(self, task: asyncio.Task[None]) -> None:
        connection = self.connections.pop(task)
        self._pending.pop(connection, None)
        if not task.cancelled() and (error := task.exception()):
            self.decisions.counters["client_connections_failed"] += 1
            session_id = connection.session.id if connection.session else ""
            log.error("client_connection_failed", session_id=session_id, exc_info=error)


def _open_spare_descriptor() -> int:
    """Return a descriptor that can be closed to make room for another one."""
    return os.open(os.devnull, os.O_RDONLY)
