"""Discovery services of the soak test, which record the phases of servers that they send."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from soak.records import Notification, ProcessRecord
from soak.servers import LOOPBACK

KEEPALIVE_S = 2.0
POLL_INTERVAL_S = 0.02
UNAVAILABLE = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"

Member = dict[str, object]


class EndpointList:
    """The endpoint list and its revisions. All discovery services share one."""

    def __init__(self) -> None:
        self.revision = 1
        self._members: dict[str, Member] = {}
        self._changed_at_revision: dict[str, int] = {}

    def set(self, member: Member) -> None:
        """Add a server or change its entry."""
        self.revision += 1
        name = str(member["id"])
        self._members[name] = member
        self._changed_at_revision[name] = self.revision

    def changes_after(self, revision: int) -> list[Member]:
        """Return the entries that changed after this revision."""
        return [
            member for name, member in self._members.items() if self._changed_at_revision[name] > revision
        ]

    def complete_list(self) -> dict[str, object]:
        """Return the complete list without the servers that are gone."""
        members = [member for member in self._members.values() if member["phase"] != "gone"]
        return {"revision": self.revision, "complete": True, "members": members}


class DiscoveryService:
    """Serves the endpoint list to one balancer on one port.

    Attributes:
        process_record: returns the record of the balancer's latest process.
        is_down: True if each call is answered with 503.
        is_silent: True if nothing is sent on the watches.
    """

    def __init__(self, endpoints: EndpointList, process_record: Callable[[], ProcessRecord]) -> None:
        self.process_record = process_record
        self.port = 0
        self.is_down = False
        self.is_silent = False
        self._endpoints = endpoints
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def go_down(self) -> None:
        """Abort all connections, and answer each call with 503 until `recover` is called."""
        self.is_down = True
        for writer in list(self._writers):
            writer.transport.abort()

    def recover(self) -> None:
        """End an outage or a silence."""
        self.is_down = False
        self.is_silent = False

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server:
            self._server.close()
        self.go_down()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            target = request.split()[1].decode()
            if self.is_down:
                writer.write(UNAVAILABLE)
            elif "watch=1" in target:
                await self._watch(int(target.rpartition("after=")[2]), reader, writer)
            else:
                self._send_complete(writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _send_complete(self, writer: asyncio.StreamWriter) -> None:
        snapshot = self._endpoints.complete_list()
        body = json.dumps(snapshot).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self._record_notifications(self._endpoints.changes_after(0))

    async def _watch(self, revision: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the changes after a revision, then each later change, and a keepalive at each interval."""
        loop = asyncio.get_running_loop()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        next_keepalive_s = 0.0
        while not (writer.is_closing() or reader.at_eof()):
            if not self.is_silent and self._endpoints.revision > revision:
                changes = self._endpoints.changes_after(revision)
                revision = self._endpoints.revision
                update = {"revision": revision, "complete": False, "members": changes}
                send_chunk(writer, json.dumps(update).encode() + b"\n")
                self._record_notifications(changes)
            elif not self.is_silent and loop.time() >= next_keepalive_s:
                send_chunk(writer, b"\n")
                next_keepalive_s = loop.time() + KEEPALIVE_S
            await asyncio.sleep(POLL_INTERVAL_S)

    def _record_notifications(self, members: list[Member]) -> None:
        """Record that the balancer was sent these entries."""
        now_s = asyncio.get_running_loop().time()
        self.process_record().notifications.extend(
            Notification(now_s, str(member["id"]), str(member["phase"])) for member in members
        )


def send_chunk(writer: asyncio.StreamWriter, line: bytes) -> None:
    """Write one line as one chunk of a chunked response."""
    writer.write(b"%x\r\n%b\r\n" % (len(line), line))
