"""Relays one direction of a proxied connection: reads bytes, schedules them, and writes them in order."""

from __future__ import annotations

import asyncio
import socket

from wheatstile.fault_proxy.delivery import DeliverySchedule, ScheduledPiece
from wheatstile.fault_proxy.live_faults import LiveFaults

READ_BYTES = 64 * 1024
"""Maximum number of bytes in one read."""
MAX_QUEUED_PIECES = 16
"""Maximum number of scheduled pieces that are not yet written. Further bytes stay in the kernel's buffers."""
WRITES_PER_SECOND = 20
"""Number of writes per second under a rate limit."""


class StreamRelay:
    """Relays the bytes that `source` sends to `destination`, from one connected socket to another.

    The caller owns both sockets and closes them.
    """

    def __init__(
        self, source: str, destination: str, *, faults: LiveFaults, schedule: DeliverySchedule
    ) -> None:
        self._source = source
        self._destination = destination
        self._faults = faults
        self._schedule = schedule
        self._queue: asyncio.Queue[ScheduledPiece] = asyncio.Queue(MAX_QUEUED_PIECES)
        self._loop = asyncio.get_running_loop()

    async def run(self, reading: socket.socket, writing: socket.socket) -> None:
        """Relay until the end of the stream is written.

        Raises an exception group of OSError (a socket failed) and FrameTooLongError.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._read(reading))
            tasks.create_task(self._write(writing))

    async def _read(self, sock: socket.socket) -> None:
        buffer = bytearray(READ_BYTES)
        while count := await self._loop.sock_recv_into(sock, buffer):
            for piece in self._schedule.split(bytes(buffer[:count])):
                conditions = self._faults.conditions(self._source, self._destination)
                for scheduled in self._schedule.add(piece, conditions, self._loop.time()):
                    await self._queue.put(scheduled)
        await self._queue.put(self._schedule.end())

    async def _write(self, sock: socket.socket) -> None:
        while True:
            scheduled = await self._queue.get()
            remaining_s = scheduled.due_s - self._loop.time()
            if remaining_s > 0:
                await asyncio.sleep(remaining_s)
            await self._faults.wait_until_unblocked(self._source, self._destination)
            if not scheduled.data:
                sock.shutdown(socket.SHUT_WR)
                return
            await self._send(sock, scheduled.data)

    async def _send(self, sock: socket.socket, data: bytes) -> None:
        """Send `data` at the rate limit that is active when the call begins."""
        rate = self._faults.conditions(self._source, self._destination).rate_bytes_per_s
        if not rate:
            await self._loop.sock_sendall(sock, data)
            return
        part_bytes = max(1, int(rate / WRITES_PER_SECOND))
        for start in range(0, len(data), part_bytes):
            part = data[start : start + part_bytes]
            await self._loop.sock_sendall(sock, part)
            await asyncio.sleep(len(part) / rate)
