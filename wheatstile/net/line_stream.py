"""Connections that carry lines of text, each ending in CRLF and no longer than 4 KiB."""

import asyncio
import socket
import struct

LINE_LIMIT = 4096
LINGER = 0.5  # seconds that a peer is given to take the last line and close
LINGER_BYTES = 1 << 16  # that are read and dropped meanwhile: more than any line that was under way


class LineTooLongError(Exception):
    """The peer's line passes the limit."""


class LineStream:
    """One TCP connection and the lines that have come on it. Whoever makes it closes it.

    The buffer holds one line of full length, so that a peer that sends faster than its lines are passed on is
    held back by TCP.
    """

    __slots__ = ("_buffer", "_filled", "_loop", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self._loop = asyncio.get_running_loop()
        self.sock = sock
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = memoryview(bytearray(LINE_LIMIT))
        self._filled = 0

    async def _fill(self, cancel_safe: bool = False) -> bool:
        if self._filled == LINE_LIMIT:
            raise LineTooLongError
        if cancel_safe and self.peek() is None:
            await self.readable()
        count = await self._loop.sock_recv_into(self.sock, self._buffer[self._filled :])
        self._filled += count
        return count > 0

    def _take(self, end: int) -> bytes:
        taken, rest = bytes(self._buffer[:end]), bytes(self._buffer[end : self._filled])
        self._buffer[: len(rest)] = rest
        self._filled = len(rest)
        return taken

    @property
    def pending(self) -> bool:
        """Whether bytes have been read that no caller has taken."""
        return self._filled > 0

    async def read_line(self, cancel_safe: bool = False) -> bytes:
        """One line with its end; empty when the peer has ended the connection.

        Where it is safe to cancel, bytes that have come stay unread in the kernel until this task takes them.
        """
        while (end := bytes(self._buffer[: self._filled]).find(b"\r\n")) < 0:
            if not await self._fill(cancel_safe):
                return b""
        return self._take(end + 2)

    async def read_lines(self) -> bytes:
        """All whole lines that have come, at least one; empty when the peer has ended the connection.

        What the peer leaves of a line at its end is dropped: no part of a line is ever passed on.
        """
        while (end := bytes(self._buffer[: self._filled]).rfind(b"\r\n")) < 0:
            if not await self._fill():
                return b""
        return self._take(end + 2)

    async def send(self, data: bytes) -> None:
        await self._loop.sock_sendall(self.sock, data)

    def send_now(self, data: bytes) -> bytes:
        """Send what the kernel takes in this very turn, and return the rest: nothing can come in between."""
        try:
            return data[self.sock.send(data) :]
        except BlockingIOError:
            return data

    async def readable(self) -> None:
        """Until something has come, or the peer's end. Whoever gives up waiting loses nothing that came."""
        ready = asyncio.Event()
        self._loop.add_reader(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            self._loop.remove_reader(self.sock)

    def peek(self) -> bytes | None:
        """The next byte that has come but was not read; empty at the peer's end, None: nothing has come."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def unread(self) -> bool:
        """Whether bytes have come that nobody has read."""
        try:
            return bool(self.peek())
        except OSError:
            return False

    def ended(self) -> bool:
        """Whether an idle connection has been ended by its peer, or has said what nobody asked for."""
        try:
            return self.pending or self.peek() is not None
        except OSError:
            return True

    async def finish(self, last: bytes) -> None:
        """Send a last line and let the peer take it.

        Closing while bytes of the peer's are unread would reset the connection, and the reset may overtake
        the line: so this side is shut, and what still comes is read and dropped until the peer closes. A peer
        that goes on and on is held back by TCP instead, which costs nothing, until its time to read is up.
        """
        try:
            async with asyncio.timeout(LINGER):
                await self.send(last)
                self.sock.shutdown(socket.SHUT_WR)
                left = LINGER_BYTES
                while count := await self._loop.sock_recv_into(self.sock, self._buffer):
                    left -= count
                    if left <= 0:
                        await asyncio.sleep(LINGER)
        except (OSError, TimeoutError):
            pass

    def close(self, reset: bool = False) -> None:
        """Give the socket back, as a reset if its other end was one. No read or write may be under way."""
        if reset and self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()
