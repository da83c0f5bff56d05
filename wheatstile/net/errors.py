"""The errors of this package that its modules raise for each other."""


class NetError(Exception):
    """The base of this package's errors."""


class LineTooLongError(NetError):
    """A peer's line passes the limit.

    `limit`: the most bytes that a line may have, with its end.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"a line of more than {limit} bytes")
        self.limit = limit
