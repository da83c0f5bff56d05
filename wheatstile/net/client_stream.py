"""A client's connection as lines."""

from wheatstile.net.errors import ClientDisconnectedError, ProtocolError
from wheatstile.net.line_stream import LineStream


class ClientStream(LineStream):
    """A client's connection. After its first line a client sends nothing until it has its answer."""

    __slots__ = ()

    def check_waiting(self) -> None:
        """Raise if the client waits no more: ClientDisconnectedError, or ProtocolError if it has sent more.

        Its end may have come in this very turn, unread: nothing may be done for it then, and least of all be
        sent on. So the socket itself is asked.
        """
        try:
            next_byte = self.peek()
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
        if next_byte:
            raise ProtocolError("more than one line before the answer")
        if next_byte is not None:
            raise ClientDisconnectedError
