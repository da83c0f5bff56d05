"""The front on the platform's protocol: accepts channels, bounds them, and sends them away at the end."""

import asyncio
import errno
import os
import socket
from collections import OrderedDict
from contextlib import suppress

import structlog

from wheatstile import interface as api
from wheatstile.config.platform import ClientLimits
from wheatstile.net.client_connection import DRAIN, SILENT, STAY_AWAY, ClientConnection
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.line_stream import LINE_LIMIT
from wheatstile.net.open_request import OpenRequest
from wheatstile.net.upstream_pool import UpstreamPool

log = structlog.get_logger()

SILENT_AFTER = 4_000_000  # microseconds without an answer to a client's line. Lines come every 2 s and a
# connection that returns nothing must be ended within 7 s: the next line, this, and a sweep come to 6.5.
SWEEP = 0.5  # seconds between two looks for silent servers
IDS_KEPT = 1 << 12  # ids that a repeat is known by, beside those of all RPCs that stand
OWN = 20  # descriptors beside channels', RPCs' and probes': output, loop, listener, discovery, the spare one
UNSERVED = 1 / 8  # of the descriptors are for channels that have no RPC, be they silent, refused or ending


class ClientListener:
    """The front: owns the channels, each for its whole life."""

    def __init__(self, decisions: DecisionLoop, upstreams: UpstreamPool, limits: ClientLimits) -> None:
        self.decisions, self.upstreams, self.limits = decisions, upstreams, limits
        self.channels: dict[asyncio.Task[None], ClientConnection] = {}
        self._unserved: dict[
            ClientConnection, asyncio.Task[None]
        ] = {}  # those without an RPC, the oldest first
        self._ids: OrderedDict[str, None] = OrderedDict()
        self._spare = os.open(os.devnull, os.O_RDONLY)

    def seen(self, id: str) -> bool:
        """Whether this id has come before: a repeat would put a second copy of an RPC out.

        An RPC may be older than all ids that are kept; its owner must not lose it to whoever repeats its id.
        """
        if id in self._ids or id in self.decisions.sessions:
            return True
        self._ids[id] = None
        if len(self._ids) > IDS_KEPT:
            self._ids.popitem(last=False)
        return False

    def longest(self, first: OpenRequest) -> int:
        """The milliseconds that this client waits at most."""
        return min(first.wait, self.limits.deadlines_ms[first.fields["c"]])

    def admit(self, channel: ClientConnection) -> None:
        """A channel has asked for an RPC: from here on it is served, and safe from the crowd."""
        self._unserved.pop(channel, None)
        self.decisions.sessions[channel.id] = channel

    def release(self, channel: ClientConnection) -> None:
        """Its RPC is over; what is left is to take the last line."""
        if self.decisions.sessions.pop(channel.id, None):
            self._unserved[channel] = channel.task

    def _left(self) -> int:
        """Descriptors that RPCs leave for others, at a channel and a server for each."""
        return self.limits.descriptors - OWN - self.upstreams.most_probes() - 2 * len(self.decisions.sessions)

    def full(self) -> bool:
        """Whether another RPC would take descriptors that the unserved need, to be answered at all."""
        return self._left() - 2 < int(self.limits.descriptors * UNSERVED)

    def _make_room(self) -> None:
        """End the oldest channel without an RPC when there are too many, however they fell silent.

        A usual client writes its first line at once and is soon served; the crowd may not take its place.
        Nor may one that has written in this very turn be closed over what it wrote, unless all have.
        """
        most = max(self._left(), int(self.limits.descriptors * UNSERVED))
        if self._unserved and len(self._unserved) >= most:
            oldest = next(iter(self._unserved))
            channel = next((it for it in self._unserved if not it.lines.unread()), oldest)
            self._unserved.pop(channel).cancel()
            self.decisions.counters["crowded out"] += 1

    def unavailable(self, milliseconds: int) -> bytes:
        """The unavailable status, with the time after which to come again, if the settings allow it."""
        milliseconds = min(milliseconds, self.limits.max_retry_after_ms)
        return b"BUSY %d\r\n" % milliseconds if milliseconds > 0 else b"BUSY\r\n"

    async def serve(self, listener: socket.socket) -> None:
        """Accept for ever, also while descriptors are out: whoever cannot be kept is refused politely."""
        loop = asyncio.get_running_loop()
        while True:
            failed: asyncio.Future[None] = loop.create_future()
            loop.add_reader(listener, self._accept, listener, failed)
            try:
                await failed
            finally:
                loop.remove_reader(listener)
            await asyncio.sleep(0.01)

    def _accept(self, listener: socket.socket, failed: "asyncio.Future[None] | None" = None) -> bool:
        """Accept one, which has its owner in the same turn: no wait is there to lose it. False: none came."""
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            self.decisions.counters[f"accept failed: {errno.errorcode.get(error.errno or 0, '?')}"] += 1
            if error.errno in (errno.EMFILE, errno.ENFILE):
                self._refuse_one(listener)
            if failed and not failed.done():
                failed.set_result(None)
            return False
        self._make_room()
        channel = ClientConnection(self, sock)
        channel.task = asyncio.create_task(channel.run())
        self.channels[channel.task], self._unserved[channel] = channel, channel.task
        channel.task.add_done_callback(self._over)
        return True

    def _refuse(self, sock: socket.socket) -> None:
        self.decisions.counters["unavailable, no descriptors"] += 1
        with sock, suppress(OSError):
            sock.setblocking(False)
            sock.send(self.unavailable(STAY_AWAY))
            sock.recv(LINE_LIMIT)  # a close over an unread request would reset the connection

    def _refuse_one(self, listener: socket.socket) -> None:
        """With no descriptor left, a spare one is given up for as long as it takes to refuse one client.

        Without it a client in the backlog would neither be served nor told, and accept would spin.
        """
        os.close(self._spare)
        try:
            with suppress(OSError):
                self._refuse(listener.accept()[0])
        finally:
            self._spare = os.open(os.devnull, os.O_RDONLY)

    def _over(self, task: asyncio.Task[None]) -> None:
        channel = self.channels.pop(task)
        self._unserved.pop(channel, None)
        if not task.cancelled() and (error := task.exception()):
            self.decisions.counters["channel failures"] += 1
            log.error("a channel failed", rpc=channel.id, exc_info=error)

    async def sweep(self) -> None:
        """Move clients whose server has been silent for too long: TCP tells nothing of a cut-off one."""
        while True:
            await asyncio.sleep(SWEEP)
            now = self.decisions.now()
            for channel in list(self.channels.values()):
                if channel.unanswered(now) > SILENT_AFTER:
                    channel.end(SILENT)

    async def drain(self, seconds: float) -> None:
        """Move every client, spread over this time; whoever comes meanwhile is still served."""
        end = asyncio.get_running_loop().time() + seconds
        while self.decisions.sessions and (left := end - asyncio.get_running_loop().time()) > 0:
            standing = [channel for channel in self.channels.values() if channel.standing]
            if standing:
                standing[0].end(DRAIN)
            await asyncio.sleep(min(0.1, left / (len(standing) + 1)))

    async def close(self, listener: socket.socket) -> None:
        """Answer whoever is not up, and whoever still stands in the backlog; nobody accepts beside this.

        The listener is closed in the turn in which the backlog was found empty: whoever comes later is
        refused by the kernel, and knows that nobody has taken its request.
        """
        self.decisions.dispatch(api.ShutdownStarted())
        while self._accept(listener):
            pass
        listener.close()
        while self.channels:  # each has LINGER to take its last line
            for channel in self.channels.values():
                channel.end(DRAIN)  # a few may have come up in this instant
                channel.turn_away()
            await asyncio.wait(self.channels, timeout=0.02)
