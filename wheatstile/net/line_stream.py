"""TCP connections for lines of text. A line ends in CRLF and has at most 4 KiB."""

import asyncio
import socket
import struct

from wheatstile.net.errors import LineTooLongError

LINE_END = b"\r\n"
LINE_END_BYTES = len(LINE_END)
LINE_LIMIT = 4096  # bytes, including the line ending
LINGER_S = 0.5  # time for a peer to read the last line and close its side
MAX_DISCARDED_BYTES = 1 << 16  # limit for input discarded before the close; exceeds LINE_LIMIT
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with 0 seconds


class LineStream:
    """One TCP connection with buffered line input. The owner closes it.

    The buffer holds one line of maximum length. TCP flow control slows down a peer that sends faster than its
    lines are relayed.
    """

    __slots__ = ("_buffer", "_buffered_bytes", "_loop", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self._loop = asyncio.get_running_loop()
        self.sock = sock
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = memoryview(bytearray(LINE_LIMIT))
        self._buffered_bytes = 0

    @classmethod
    def unconnected(cls) -> "LineStream":
        """Return a stream on a new, unconnected socket. Raises OSError."""
        return cls(socket.socket(socket.AF_INET, socket.SOCK_STREAM))

    async def connect(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect to the peer. Raises OSError, including TimeoutError after `timeout_s`."""
        async with asyncio.timeout(timeout_s):
            await self._loop.sock_connect(self.sock, address)

    async def _fill(self, cancel_safe: bool = False) -> bool:
        """Read available bytes into the buffer. Return False at end of stream.

        Raises LineTooLongError if the buffer is full, and OSError.
        """
        if self._buffered_bytes == LINE_LIMIT:
            raise LineTooLongError(LINE_LIMIT)
        if cancel_safe and self.peek() is None:
            await self.wait_readable()
        count = await self._loop.sock_recv_into(self.sock, self._buffer[self._buffered_bytes :])
        self._buffered_bytes += count
        return count > 0

    def _take(self, end: int) -> bytes:
        """Remove the first `end` bytes from the buffer and return them."""
        taken = bytes(self._buffer[:end])
        rest = bytes(self._buffer[end : self._buffered_bytes])
        self._buffer[: len(rest)] = rest
        self._buffered_bytes = len(rest)
        return taken

    @property
    def has_buffered_input(self) -> bool:
        """True if the buffer contains bytes that have not been returned to a caller."""
        return self._buffered_bytes > 0

    async def read_line(self, cancel_safe: bool = False) -> bytes:
        """Return one line with its line ending, or b"" at end of stream.

        With `cancel_safe`, cancelling the call loses no input: bytes stay in the kernel until they can be
        read and processed in one iteration of the event loop.

        Raises OSError, and LineTooLongError for a line that exceeds LINE_LIMIT.
        """
        while (end := bytes(self._buffer[: self._buffered_bytes]).find(LINE_END)) < 0:
            if not await self._fill(cancel_safe):
                return b""
        return self._take(end + LINE_END_BYTES)

    async def read_lines(self) -> bytes:
        """Return all complete lines that have arrived, at least one, or b"" at end of stream.

        A partial line at end of stream is dropped: partial lines are never relayed.

        Raises OSError, and LineTooLongError for a line that exceeds LINE_LIMIT.
        """
        while (end := bytes(self._buffer[: self._buffered_bytes]).rfind(LINE_END)) < 0:
            if not await self._fill():
                return b""
        return self._take(end + LINE_END_BYTES)

    async def send(self, data: bytes) -> None:
        """Send all data, without a timeout. Raises OSError."""
        await self._loop.sock_sendall(self.sock, data)

    def send_now(self, data: bytes) -> bytes:
        """Send as much as the kernel accepts without blocking. Return the rest. Raises OSError."""
        try:
            return data[self.sock.send(data) :]
        except BlockingIOError:
            return data

    async def wait_readable(self) -> None:
        """Wait for input or end of stream. Cancelling loses no input."""
        ready = asyncio.Event()
        self._loop.add_reader(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            self._loop.remove_reader(self.sock)

    def peek(self) -> bytes | None:
        """Return the next input byte without consuming it, b"" at end of stream, or None if no input.

        Raises OSError if the peer has reset the connection.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def has_pending_input(self) -> bool:
        """Return whether the kernel holds unread input."""
        try:
            return bool(self.peek())
        except OSError:
            return False

    def is_unusable(self) -> bool:
        """Return whether an idle connection is unusable: closed by the peer, or with unexpected input."""
        try:
            return self.has_buffered_input or self.peek() is not None
        except OSError:
            return True

    async def send_last_line(self, last_line: bytes) -> None:
        """Send the last line and give the peer LINGER_S to read it and close its side (lingering close).

        Closing a socket with unread input resets the connection, and the peer may then lose the line. So this
        method shuts down the sending side, then reads and discards input until the peer closes. After
        MAX_DISCARDED_BYTES it stops reading, and TCP flow control stops the peer until LINGER_S has elapsed.
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
