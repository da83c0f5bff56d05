"""The first line of a client's connection; `PING`s before it are answered."""

import asyncio
from collections import Counter

from wheatstile.net.client_stream import ClientStream
from wheatstile.net.errors import ClientDisconnectedError, LineTooLongError, ProtocolError

FIRST_LINE_TIMEOUT_S = 2.0  # clients send it at once, and have to be answered within 3 s
PING_LINE = b"PING\r\n"
PONG_LINE = b"PONG\r\n"


class FirstLineReader:
    """Reads the line with which a client asks for a session, and waits no longer once it is stopped."""

    def __init__(self, stream: ClientStream, counters: Counter[str]) -> None:
        self._stream = stream
        self._counters = counters
        self._timeout: asyncio.Timeout | None = None  # of the wait that is under way
        self._stopped = False

    def stop(self) -> None:
        """Wait no longer: the balancer shuts down. A line that has come is still returned."""
        if self._timeout and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())
        self._stopped = True

    async def read(self) -> bytes:
        """Return the first line that is no `PING`; empty if the reader was stopped before one came.

        Raises ProtocolError if none comes in time, if it is too long, or if more follows it, and
        ClientDisconnectedError if the client leaves.
        """
        try:
            line = await self._read_request()
        except TimeoutError:
            if self._stopped:
                return b""
            raise ProtocolError("no first line in time") from None
        except LineTooLongError as error:
            raise ProtocolError(str(error)) from None
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
        if not line:
            if self._stopped:
                return b""
            raise ClientDisconnectedError
        if self._stream.pending:  # a client waits after its first line
            raise ProtocolError("more than one line before the answer")
        self._stream.check_waiting()
        return line

    async def _read_request(self) -> bytes:
        """Answer `PING`s until another line comes; empty if the client ends, or the reader is stopped."""
        line = b""
        while not self._stopped:
            try:
                async with asyncio.timeout(FIRST_LINE_TIMEOUT_S) as self._timeout:
                    line = await self._stream.read_line(cancel_safe=True)
            finally:
                self._timeout = None
            if line != PING_LINE or self._stream.pending:
                break
            self._counters["pings_answered"] += 1
            await self._stream.send(PONG_LINE)
            line = b""
            await self._wait_after_pong()
        return line

    async def _wait_after_pong(self) -> None:
        """Wait for a client that has been told PONG and may ask for something, or may not.

        What it asks in the very moment in which its time is up stays unread: it is answered, not closed over.
        """
        try:
            async with asyncio.timeout(FIRST_LINE_TIMEOUT_S) as self._timeout:
                await self._stream.readable()
        except TimeoutError:
            if self._stream.peek() is None:
                raise ClientDisconnectedError from None
        finally:
            self._timeout = None
