"""Line stream of a client connection."""

from wheatstile.net.errors import ClientDisconnectedError, ProtocolError
from wheatstile.net.line_stream import LineStream


class ClientStream(LineStream):
    """A client connection. After its first line, a client must not send more before it gets the answer."""

    __slots__ = ()

    def check_awaiting_answer(self) -> None:
        """Check that the client is still connected and has not sent more input.

        This checks the socket directly, since no task may have read a disconnect that arrived in the current
        iteration of the event loop. Call it in the same iteration as the operation that depends on it.

        Raises ClientDisconnectedError, or ProtocolError if the client has sent another line.
        """
        try:
            next_byte = self.peek()
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
        if next_byte:
            raise ProtocolError("client sent more input before the answer")
        if next_byte is not None:
            raise ClientDisconnectedError
