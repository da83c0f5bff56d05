"""The resolver result: lists of servers in discovery's form, which the platform's file holds one of too."""

import socket
from dataclasses import dataclass
from math import inf
from typing import Any, NamedTuple

from wheatstile import interface as api

PHASES = {
    "ready": api.EndpointState.READY,
    "draining": api.EndpointState.DRAINING,
    "gone": api.EndpointState.GONE,
}


def address_of(text: str) -> tuple[str, int]:
    """HOST:PORT as a socket takes it. Raises ValueError."""
    host, _, port = text.rpartition(":")
    socket.inet_aton(host) if host else None
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)


def weight_of(value: Any) -> float:
    """A server's weight; what nobody could draw by counts as 1. Raises ValueError or TypeError."""
    weight = float(value)
    return weight if 0 < weight < inf else 1.0


class ResolvedEndpoint(NamedTuple):
    """One server, and where it is reached (None: gone)."""

    endpoint: api.Endpoint
    address: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """One list of servers, or the changes to one, with the addresses to reach them at."""

    revision: int
    complete: bool
    endpoints: list[api.Endpoint]
    addresses: dict[str, tuple[str, int] | None]  # None: gone

    @property
    def members(self) -> list[ResolvedEndpoint]:
        return [ResolvedEndpoint(endpoint, self.addresses[endpoint.name]) for endpoint in self.endpoints]

    @classmethod
    def read(cls, data: Any) -> "EndpointSnapshot":
        """From discovery's JSON. Raises ValueError, KeyError or TypeError on what has another form."""
        endpoints, addresses = [], {}
        for member in data["members"]:
            phase = PHASES.get(
                member["phase"], api.EndpointState.DRAINING
            )  # unknown: nothing new, as if it drained
            name, started = str(member["id"]), int(member.get("up_since_ms", 0))
            endpoints.append(
                api.Endpoint(
                    name,
                    phase,
                    str(member.get("locality", "")),
                    int(member.get("cell", 0)),
                    weight_of(member.get("size", 1.0)),
                    started * 1000,
                )
            )
            addresses[name] = None if phase is api.EndpointState.GONE else address_of(member["host_port"])
        return cls(int(data["revision"]), bool(data["complete"]), endpoints, addresses)
