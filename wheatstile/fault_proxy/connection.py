"""One proxied connection: the client's socket, and a socket connected to the route's target."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct

import structlog

from wheatstile.fault_proxy.delivery import DeliverySchedule
from wheatstile.fault_proxy.fault_table import LinkPattern
from wheatstile.fault_proxy.live_faults import LiveFaults
from wheatstile.fault_proxy.routes import Route
from wheatstile.fault_proxy.stream_relay import StreamRelay

log = structlog.get_logger()

LOOPBACK = "127.0.0.1"
LINGER_ZERO = struct.pack("ii", 1, 0)
"""The SO_LINGER value (on, 0 s) that makes close() send RST instead of FIN."""


class ProxiedConnection:
    """Owns both sockets of one connection on `route`. `run` closes them."""

    def __init__(
        self, route: Route, client: socket.socket, *, faults: LiveFaults, frames: bool, seed: int
    ) -> None:
        self._route = route
        self._client = client
        self._upstream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._faults = faults
        self._frames = frames
        self._seed = seed
        self._task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Relay both directions until one fails, both have ended, or the connection is reset.

        Then close both sockets with RST.
        """
        self._task = asyncio.current_task()
        try:
            await self._relay()
        except* (OSError, ValueError) as errors:  # an error ends this connection, not the proxy
            log.info(
                "proxied_connection_ended",
                source=self._route.source,
                destination=self._route.destination,
                error=str(errors.exceptions[0]),
            )
        finally:
            self._close()

    def reset_if_matching(self, pattern: LinkPattern) -> None:
        """Close the connection with RST if its link matches `pattern` in either direction."""
        if self._task and pattern.matches_either_direction(self._route.source, self._route.destination):
            self._task.cancel()

    async def _relay(self) -> None:
        self._client.setblocking(False)
        self._upstream.setblocking(False)
        source = self._route.source
        destination = self._route.destination
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._upstream, (LOOPBACK, self._route.target_port))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._stream_relay(source, destination).run(self._client, self._upstream))
            tasks.create_task(self._stream_relay(destination, source).run(self._upstream, self._client))

    def _stream_relay(self, source: str, destination: str) -> StreamRelay:
        # All connections draw the same random numbers in one direction of a link, so a seed reproduces a run.
        generator = random.Random(f"{self._seed}:{source}:{destination}")
        schedule = DeliverySchedule(generator, frames=self._frames)
        return StreamRelay(source, destination, faults=self._faults, schedule=schedule)

    def _close(self) -> None:
        for sock in (self._client, self._upstream):
            with contextlib.suppress(OSError):  # the peer may have closed the connection already
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            sock.close()
