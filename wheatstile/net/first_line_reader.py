"""Reader for the first line of a client connection. Answers any `PING` before it."""

import asyncio
from collections import Counter

from wheatstile.net.client_stream import ClientStream
from wheatstile.net.errors import ClientDisconnectedError, LineTooLongError, ProtocolError

FIRST_LINE_TIMEOUT_S = 2.0  # clients send it immediately, and must be answered within 3 s
PING_LINE = b"PING\r\n"
PONG_LINE = b"PONG\r\n"


class FirstLineReader:
    """Reads the line with which a client requests a session. `stop` ends the wait for it."""

    def __init__(self, stream: ClientStream, counters: Counter[str]) -> None:
        self._stream = stream
        self._counters = counters
        self._timeout: asyncio.Timeout | None = None  # timeout of the current wait
        self._stopped = False

    def stop(self) -> None:
        """Stop waiting, for the shutdown. A line that has already arrived is still returned."""
        if self._timeout and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())
        self._stopped = True

    async def read(self) -> bytes:
        """Return the first line other than `PING`, or b"" if the reader was stopped before it arrived.

        Raises ProtocolError if no line arrives in time, if it is too long, or if more input follows it.
        Raises ClientDisconnectedError if the client disconnects.
        """
        try:
            line = await self._read_request()
        except TimeoutError:
            if self._stopped:
                return b""
            raise ProtocolError(f"no first line within {FIRST_LINE_TIMEOUT_S} s") from None
        except LineTooLongError as error:
            raise ProtocolError(str(error)) from None
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
        if not line:
            if self._stopped:
                return b""
            raise ClientDisconnectedError
        if self._stream.has_buffered_input:
            raise ProtocolError("client sent more input before the answer")
        self._stream.check_awaiting_answer()
        return line

    async def _read_request(self) -> bytes:
        """Answer each `PING`. Return the first other line, or b"" on disconnect or when stopped."""
        line = b""
        while not self._stopped:
            try:
                async with asyncio.timeout(FIRST_LINE_TIMEOUT_S) as self._timeout:
                    line = await self._stream.read_line(cancel_safe=True)
            finally:
                self._timeout = None
            if line != PING_LINE or self._stream.has_buffered_input:
                break
            self._counters["pings_answered"] += 1
            await self._stream.send(PONG_LINE)
            line = b""
            await self._wait_after_pong()
        return line

    async def _wait_after_pong(self) -> None:
        """Wait for further input after `PONG`. Clients are not required to send any.

        The input is not read here. A client whose input arrives in the same iteration of the event loop as
        the timeout expires is still served.

        Raises ClientDisconnectedError if no input arrives before the timeout.
        """
        try:
            async with asyncio.timeout(FIRST_LINE_TIMEOUT_S) as self._timeout:
                await self._stream.wait_readable()
        except TimeoutError:
            if self._stream.peek() is None:
                raise ClientDisconnectedError from None
        finally:
            self._timeout = None
