"""Exceptions of the network code."""

import errno

OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


def is_out_of_descriptors(error: OSError) -> bool:
    """Return whether a call failed because the process or the system is out of file descriptors."""
    return error.errno in OUT_OF_DESCRIPTORS


class NetError(Exception):
    """Base class of the exceptions of the network code."""


class LineTooLongError(NetError):
    """A peer sent a line that exceeds the length limit.

    `limit`: the maximum length of a line in bytes, including the line ending.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"line is longer than {limit} bytes")
        self.limit = limit


class ProtocolError(NetError):
    """A client violated the line protocol.

    `reason`: a description of the violation.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ClientDisconnectedError(NetError):
    """The client closed or reset its connection.

    `reset`: whether the connection ended with a TCP reset.
    """

    def __init__(self, reset: bool = False) -> None:
        super().__init__("client reset the connection" if reset else "client closed the connection")
        self.reset = reset
