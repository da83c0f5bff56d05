"""The errors that this package's modules raise for each other."""


class NetError(Exception):
    """The base of this package's errors."""


class LineTooLongError(NetError):
    """A peer's line passes the limit.

    `limit`: the most bytes that a line may have, with its end.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"a line of more than {limit} bytes")
        self.limit = limit


class ProtocolError(NetError):
    """A client has sent what no client sends.

    `reason`: what is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ClientDisconnectedError(NetError):
    """The client's side of the connection has ended.

    `reset`: it ended by a reset.
    """

    def __init__(self, reset: bool = False) -> None:
        super().__init__("the client's side was reset" if reset else "the client's side has ended")
        self.reset = reset
