"""Accepts clients, and bounds them by the descriptors that the process may use."""

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
from wheatstile.net.line_stream import LINE_LIMIT
from wheatstile.net.open_request import OpenRequest
from wheatstile.net.session import Session
from wheatstile.net.upstream_attempt import OUT_OF_DESCRIPTORS
from wheatstile.net.upstream_pool import UpstreamPool

log = structlog.get_logger()

MAX_RECENT_IDS = 1 << 12  # ids that a repeat is known by, beside those of all sessions that stand
RESERVED_DESCRIPTORS = 20  # for output, loop, listener, discovery, the spare one
PENDING_SHARE = 1 / 8  # of the descriptors are for connections without a session: silent, rejected, ending
DESCRIPTORS_PER_SESSION = 2  # the client's and the server's
ACCEPT_RETRY_S = 0.01


class ClientListener:
    """Owns the clients' connections, each for its whole life.

    A connection is pending while it has no session. Descriptors are kept for the pending ones, so that each
    client can be answered at all; when these are out, the oldest pending connection is evicted.
    """

    def __init__(self, decisions: DecisionLoop, upstreams: UpstreamPool, limits: ClientLimits) -> None:
        self.decisions = decisions
        self.upstreams = upstreams
        self.limits = limits  # a reload replaces it
        self.connections: dict[asyncio.Task[None], ClientConnection] = {}
        self._pending: dict[ClientConnection, asyncio.Task[None]] = {}  # the oldest first
        self._recent_ids: OrderedDict[str, None] = OrderedDict()
        self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)

    def register_id(self, session_id: str) -> bool:
        """Take note of a session's id; whether it is new. A repeat would put out a second copy of a session.

        A session may be older than all ids that are kept; it must not be lost to whoever repeats its id.
        """
        if session_id in self._recent_ids or session_id in self.decisions.sessions:
            return False
        self._recent_ids[session_id] = None
        if len(self._recent_ids) > MAX_RECENT_IDS:
            self._recent_ids.popitem(last=False)
        return True

    def max_wait_ms(self, request: OpenRequest) -> int:
        """Return the milliseconds that this request's client waits at most. Raises KeyError for its class."""
        return min(request.wait_ms, self.limits.deadlines_ms[request.service_class])

    def admit(self, connection: ClientConnection, session: Session) -> None:
        """Take note that a connection has asked for this session: from here on it is not evicted."""
        self._pending.pop(connection, None)
        self.decisions.sessions[session.id] = session

    def release(self, connection: ClientConnection, session: Session) -> None:
        """Take note that the session is over; what is left is to take the last line."""
        if self.decisions.sessions.pop(session.id, None):
            self._pending[connection] = connection.task

    def _free_descriptors(self) -> int:
        """Return the descriptors that sessions leave to others."""
        used = DESCRIPTORS_PER_SESSION * len(self.decisions.sessions)
        others = RESERVED_DESCRIPTORS + self.upstreams.max_health_check_connections
        return self.limits.descriptors - others - used

    def _min_pending(self) -> int:
        return int(self.limits.descriptors * PENDING_SHARE)

    def has_capacity(self) -> bool:
        """Whether another session leaves the descriptors that pending connections need."""
        return self._free_descriptors() - DESCRIPTORS_PER_SESSION >= self._min_pending()

    def _evict_oldest_pending(self) -> None:
        """End the oldest pending connection when there are too many, however they fell silent.

        A usual client writes its first line at once and is soon served; the many may not take its place. Nor
        may one that has written in this very turn be closed over what it wrote, unless all have.
        """
        max_pending = max(self._free_descriptors(), self._min_pending())
        if self._pending and len(self._pending) >= max_pending:
            oldest = next(iter(self._pending))
            evicted = next((pending for pending in self._pending if not pending.has_pending_input()), oldest)
            self._pending.pop(evicted).cancel()
            self.decisions.counters["client_connections_evicted"] += 1

    def rejection_line(self, retry_after_ms: int) -> bytes:
        """Return the line that rejects a client, with the time to retry after if the settings allow it."""
        return rejection_line(min(retry_after_ms, self.limits.max_retry_after_ms))

    async def serve(self, listener: socket.socket) -> None:
        """Accept for ever, also while descriptors are out: whoever cannot be kept is rejected."""
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
        """Accept one client, which has its owner in the same turn: no wait is there to lose it.

        False: nobody stands in the backlog, or it failed, which `failed` is told of.
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
        if error.errno in OUT_OF_DESCRIPTORS:
            self._reject_on_spare_descriptor(listener)

    def _reject_on_spare_descriptor(self, listener: socket.socket) -> None:
        """With no descriptor left, give up a spare one for as long as it takes to reject one client.

        Without it a client in the backlog would neither be served nor told, and accept would spin.
        """
        os.close(self._spare_descriptor)
        try:
            with suppress(OSError):
                sock, _ = listener.accept()
                self._reject(sock)
        finally:
            self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)

    def _reject(self, sock: socket.socket) -> None:
        self.decisions.counters["clients_rejected_out_of_descriptors"] += 1
        with sock, suppress(OSError):
            sock.setblocking(False)
            sock.send(self.rejection_line(RETRY_AFTER_MS))
            sock.recv(LINE_LIMIT)  # a close over an unread request would reset the connection

    def _on_connection_done(self, task: asyncio.Task[None]) -> None:
        connection = self.connections.pop(task)
        self._pending.pop(connection, None)
        if not task.cancelled() and (error := task.exception()):
            self.decisions.counters["client_connections_failed"] += 1
            session_id = connection.session.id if connection.session else ""
            log.error("client_connection_failed", session_id=session_id, exc_info=error)
