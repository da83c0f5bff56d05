"""The line stream of a client's connection."""

from wheatstile.net.errors import ClientDisconnectedError, ProtocolError
from wheatstile.net.line_stream import LineStream


class ClientStream(LineStream):
    """A client's connection. After its first line, a client must send nothing until it has its answer."""

    __slots__ = ()

    def check_waiting(self) -> None:
        """Check that the client is still connected and waits for its answer.

        The check asks the socket itself, because the client's end may have arrived in this turn of the event
        loop and no task has read it yet. Call it in the turn in which something is done for the client.

        Raises ClientDisconnectedError, or ProtocolError if the client has sent another line.
        """
        try:
            next_byte = self.peek()
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
        if next_byte:
            raise ProtocolError("more than one line before the answer")
        if next_byte is not None:
            raise ClientDisconnectedError
