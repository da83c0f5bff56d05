"""Connections of a client to the members: one for each member, opened when it is first used."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from wheatstile.store.errors import FrameTooLargeError, RequestRejectedError
from wheatstile.store.framing import MAX_REQUEST_BYTES, FrameReader, connect, encode_frame
from wheatstile.store.protocol import ErrorCode, Reply, Request


class ClientConnections:
    """Connections to `members`, which maps member names to loopback ports. `close` closes the connections.

    A connection is closed after any failure, because a late reply could otherwise be taken for the reply to
    the next request.
    """

    def __init__(self, members: Mapping[str, int]) -> None:
        self._members = members
        self._readers: dict[str, FrameReader] = {}

    async def request(self, name: str, request: Request) -> Reply:
        """Send a request to a member and return its reply.

        Raises OSError, `ProtocolError`, `msgspec.DecodeError`, and `RequestRejectedError` if the request is
        larger than a member accepts or cannot be encoded.
        """
        frame = _encode_request(request)
        if name not in self._readers:
            self._readers[name] = FrameReader(await connect(self._members[name]))
        try:
            sock = self._readers[name].sock
            await asyncio.get_running_loop().sock_sendall(sock, frame)
        except BaseException:
            self.discard(name)
            raise
        return await self.receive(name)

    async def receive(self, name: str) -> Reply:
        """Return the member's next reply. Raises the same errors as `request`."""
        try:
            reply = await self._readers[name].read(Reply)
            if reply is None:
                raise ConnectionResetError(f"{name} closed the connection")
        except BaseException:
            self.discard(name)
            raise
        return reply

    def discard(self, name: str) -> None:
        """Close the connection to a member, if there is one."""
        if reader := self._readers.pop(name, None):
            reader.sock.close()

    def close(self) -> None:
        """Close all connections."""
        for name in list(self._readers):
            self.discard(name)


def _encode_request(request: Request) -> bytes:
    try:
        return encode_frame(request, MAX_REQUEST_BYTES)
    except FrameTooLargeError as error:
        reason = f"request of {error.length_bytes} bytes; the limit is {error.max_bytes} bytes"
        raise RequestRejectedError(ErrorCode.INVALID, reason) from error
    except OverflowError as error:
        raise RequestRejectedError(ErrorCode.INVALID, "a number in the request exceeds 64 bits") from error
