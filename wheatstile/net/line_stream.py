"""TCP connections that carry lines of text. A line ends in CRLF and has at most 4 KiB."""

import asyncio
import socket
import struct

from wheatstile.net.errors import LineTooLongError

LINE_END = b"\r\n"
LINE_END_BYTES = len(LINE_END)
LINE_LIMIT = 4096  # bytes, including the end of the line
LINGER_S = 0.5  # time for a peer to take the last line and close its side
MAX_DISCARDED_BYTES = 1 << 16  # input that is read and dropped before the close, more than the longest line
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER switched on with 0 seconds


class LineStream:
    """One TCP connection and the lines that arrive on it. The owner of the stream closes it.

    The buffer holds one line of maximum length, so TCP flow control slows down a peer that sends faster than
    its lines are passed on.
    """

    __slots__ = ("_buffer", "_filled", "_loop", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self._loop = asyncio.get_running_loop()
        self.sock = sock
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = memoryview(bytearray(LINE_LIMIT))
        self._filled = 0

    @classmethod
    def unconnected(cls) -> "LineStream":
        """Return a stream on a new socket, which is not connected yet. Raises OSError."""
        return cls(socket.socket(socket.AF_INET, socket.SOCK_STREAM))

    async def connect(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect to the peer. Raises OSError, and TimeoutError (a subclass) after `timeout_s` seconds."""
        async with asyncio.timeout(timeout_s):
            await self._loop.sock_connect(self.sock, address)

    async def _fill(self, cancel_safe: bool = False) -> bool:
        """Read available bytes into the buffer. Return False at the peer's end.

        Raises LineTooLongError if the buffer is full, and OSError.
        """
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
        """Whether the buffer holds bytes that no caller has taken."""
        return self._filled > 0

    async def read_line(self, cancel_safe: bool = False) -> bytes:
        """Return one line with its end; empty when the peer has ended the connection.

        With `cancel_safe`, cancelling the call loses no input: bytes stay in the kernel until they are read
        and handled in one turn of the event loop.

        Raises OSError, and LineTooLongError for a line that exceeds LINE_LIMIT.
        """
        while (end := bytes(self._buffer[: self._filled]).find(LINE_END)) < 0:
            if not await self._fill(cancel_safe):
                return b""
        return self._take(end + LINE_END_BYTES)

    async def read_lines(self) -> bytes:
        """Return all complete lines that have arrived, at least one; empty at the peer's end.

        A partial line before the peer's end is dropped: no part of a line is ever passed on.

        Raises OSError, and LineTooLongError for a line that exceeds LINE_LIMIT.
        """
        while (end := bytes(self._buffer[: self._filled]).rfind(LINE_END)) < 0:
            if not await self._fill():
                return b""
        return self._take(end + LINE_END_BYTES)

    async def send(self, data: bytes) -> None:
        """Send all of the data, without a time-out. Raises OSError."""
        await self._loop.sock_sendall(self.sock, data)

    def send_now(self, data: bytes) -> bytes:
        """Send what the kernel accepts in this turn of the event loop. Return the rest. Raises OSError."""
        try:
            return data[self.sock.send(data) :]
        except BlockingIOError:
            return data

    async def readable(self) -> None:
        """Wait until input has arrived or the peer has ended. Cancelling loses no input."""
        ready = asyncio.Event()
        self._loop.add_reader(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            self._loop.remove_reader(self.sock)

    def peek(self) -> bytes | None:
        """Return the next byte of the input without taking it; empty at the peer's end, None without input.

        Raises OSError if the peer has reset the connection.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def has_pending_input(self) -> bool:
        """Return whether the kernel holds input that has not been read."""
        try:
            return bool(self.peek())
        except OSError:
            return False

    def ended(self) -> bool:
        """Return whether the peer of an idle connection has ended it or has sent unexpected input."""
        try:
            return self.pending or self.peek() is not None
        except OSError:
            return True

    async def finish(self, last_line: bytes) -> None:
        """Send a last line and give the peer LINGER_S to take it and close its side.

        Closing the socket over unread input would reset the connection, and the reset may overtake the line.
        So this method shuts down the sending side, then reads and drops input until the peer closes. After
        MAX_DISCARDED_BYTES it stops reading, and TCP flow control holds the peer back until LINGER_S is over.
        """
        try:
            async with asyncio.timeout(LINGER_S):
                await self.send(last_line)
                self.sock.shutdown(socket.SHUT_WR)
                remaining_bytes = MAX_DISCARDED_BYTES
                while count := await self._loop.sock_recv_into(self.sock, self._buffer):
                    remaining_bytes -= count
                    if remaining_bytes <= 0:
                        await asyncio.sleep(LINGER_S)
        except (OSError, TimeoutError):
            pass

    def close(self, reset: bool = False) -> None:
        """Close the socket, with a TCP reset if `reset` is true. No read or write may be in progress."""
        if reset and self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
