"""What the fault proxy raises."""

from __future__ import annotations

from collections.abc import Iterable


class FaultProxyError(ValueError):
    """The base of the package's errors: input that it cannot use."""


class CommandError(FaultProxyError):
    """A command that cannot be carried out; the message names the word at fault and the reason."""


class ScriptError(CommandError):
    """A script that cannot be used.

    `violations` holds `line N: reason` for every line at fault, in the order of the script.
    """

    def __init__(self, violations: Iterable[str]) -> None:
        self.violations = list(violations)
        super().__init__("\n".join(self.violations))


class RouteError(FaultProxyError):
    """A route that cannot be parsed; `route` is its text."""

    def __init__(self, route: str, reason: str) -> None:
        self.route = route
        super().__init__(f"route {route!r}: {reason}")


class FrameTooLongError(FaultProxyError):
    """A frame that is longer than the proxy buffers; both lengths are in bytes, with the prefix."""

    def __init__(self, length: int, max_length: int) -> None:
        self.length = length
        self.max_length = max_length
        super().__init__(f"a frame of {length} bytes, {max_length} at most")
