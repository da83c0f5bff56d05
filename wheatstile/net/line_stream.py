"""Connections that carry lines of text, each ending in CRLF and no longer than 4 KiB."""

import asyncio
import socket
import struct

from wheatstile.net.errors import LineTooLongError

LINE_LIMIT = 4096
LINGER_S = 0.5  # for which a peer is given time to take the last line and close
MAX_DISCARDED_BYTES = 1 << 16  # read and dropped meanwhile: more than any line that was under way


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
        """Read what has come, up to a full buffer; False at the peer's end. Raises LineTooLongError."""
        if self._filled == LINE_LIMIT:
            raise LineTooLongError(LINE_LIMIT)
        if cancel_safe and self.peek() is None:
            await self.readable()
        count = await self._loop.sock_recv_into(self.sock, self._buffer[self._filled :])
        self._filled += count
        return count > 0

    def _take(self, end: int) -> bytes:
        """Remove the first `end` bytes from the buffer and return them."""
        taken = bytes(self._buffer[:end])
        rest = bytes(self._buffer[end : self._filled])
        self._buffer[: len(rest)] = rest
        self._filled = len(rest)
        return taken

    @property
    def pending(self) -> bool:
        """Whether bytes have been read that no caller has taken."""
        return self._filled > 0

    async def read_line(self, cancel_safe: bool = False) -> bytes:
        """Return one line with its end; empty when the peer has ended the connection.

        Where it is safe to cancel, bytes that have come stay unread in the kernel until this task takes them.
        Raises OSError, and LineTooLongError for a line that passes LINE_LIMIT.
        """
        while (end := bytes(self._buffer[: self._filled]).find(b"\r\n")) < 0:
            if not await self._fill(cancel_safe):
                return b""
        return self._take(end + 2)

    async def read_lines(self) -> bytes:
        """Return all whole lines that have come, at least one; empty when the peer has ended the connection.

        What the peer leaves of a line at its end is dropped: no part of a line is ever passed on. Raises
        OSError, and LineTooLongError for a line that passes LINE_LIMIT.
        """
        while (end := bytes(self._buffer[: self._filled]).rfind(b"\r\n")) < 0:
            if not await self._fill():
                return b""
        return self._take(end + 2)

    async def send(self, data: bytes) -> None:
        """Send all of the data, waiting for the peer as long as it takes. Raises OSError."""
        await self._loop.sock_sendall(self.sock, data)

    def send_now(self, data: bytes) -> bytes:
        """Send what the kernel takes in this very turn, and return the rest: nothing can come in between.

        Raises OSError.
        """
        try:
            return data[self.sock.send(data) :]
        except BlockingIOError:
            return data

    async def readable(self) -> None:
        """Wait until something has come, or the peer's end. Whoever gives up waiting loses nothing."""
        ready = asyncio.Event()
        self._loop.add_reader(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            self._loop.remove_reader(self.sock)

    def peek(self) -> bytes | None:
        """Return the next byte that has come and was not read; empty at the peer's end, None: none came.

        Raises OSError if the peer has reset the connection.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def has_pending_input(self) -> bool:
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
        that goes on and on is held back by TCP instead, which costs nothing, until LINGER_S is up.
        """
        try:
            async with asyncio.timeout(LINGER_S):
                await self.send(last)
                self.sock.shutdown(socket.SHUT_WR)
                remaining_bytes = MAX_DISCARDED_BYTES
                while count := await self._loop.sock_recv_into(self.sock, self._buffer):
                    remaining_bytes -= count
                    if remaining_bytes <= 0:
                        await asyncio.sleep(LINGER_S)
        except (OSError, TimeoutError):
            pass

    def close(self, reset: bool = False) -> None:
        """Give the socket back, as a reset if its other end was one. No read or write may be under way."""
        if reset and self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()
