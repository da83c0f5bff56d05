"""The exceptions of the fault proxy."""

from __future__ import annotations

from collections.abc import Iterable


class FaultProxyError(ValueError):
    """Base class of the package's errors. All of them report invalid input."""


class CommandError(FaultProxyError):
    """A command is invalid. The message gives the position of the invalid word and the reason."""


class ScriptError(CommandError):
    """A script is invalid.

    `violations` contains `line N: reason` for every invalid line, in the order of the script.
    """

    def __init__(self, violations: Iterable[str]) -> None:
        self.violations = list(violations)
        super().__init__("\n".join(self.violations))


class RouteError(FaultProxyError):
    """A route is invalid. `route` is its text."""

    def __init__(self, route: str, reason: str) -> None:
        self.route = route
        super().__init__(f"route {route!r}: {reason}")


class FrameTooLongError(FaultProxyError):
    """A frame exceeds the maximum length. Both lengths are in bytes and include the length prefix."""

    def __init__(self, length: int, max_length: int) -> None:
        self.length = length
        self.max_length = max_length
        super().__init__(f"a frame has {length} bytes; at most {max_length} are allowed")
