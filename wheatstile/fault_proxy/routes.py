"""Routes of the fault proxy: the listening port and the target port of each link between two processes."""

from __future__ import annotations

from dataclasses import dataclass

from wheatstile.fault_proxy.errors import RouteError

ROUTE_FORMAT = "SRC:DST:LISTEN:TARGET"


@dataclass(frozen=True, slots=True)
class Route:
    """Connections from the process `source` to the process `destination`, both on 127.0.0.1.

    `source` connects to `listen_port` (0: any free port); `destination` listens on `target_port`.
    """

    source: str
    destination: str
    listen_port: int
    target_port: int

    @classmethod
    def parse(cls, text: str) -> Route:
        """Parse `SRC:DST:LISTEN:TARGET`. Raises RouteError."""
        try:
            source, destination, listen_text, target_text = text.split(":")
        except ValueError:
            raise RouteError(text, f"expected {ROUTE_FORMAT}") from None
        if not source or not destination:
            raise RouteError(text, f"expected {ROUTE_FORMAT}")
        try:
            listen_port = int(listen_text)
            target_port = int(target_text)
        except ValueError:
            raise RouteError(text, "ports must be numbers") from None
        return cls(source, destination, listen_port, target_port)
