"""Lists of endpoints in discovery's form; the platform's file holds one of these too."""

import socket
from dataclasses import dataclass
from math import inf
from typing import Any, NamedTuple

from wheatstile import interface as api

# The word in `phase` -> the interface's.
STATES = {
    "ready": api.EndpointState.READY,
    "draining": api.EndpointState.DRAINING,
    "gone": api.EndpointState.GONE,
}
MAX_PORT = 65535


def address_of(text: str) -> tuple[str, int]:
    """HOST:PORT, of an IPv4 literal, as a socket takes it. Raises ValueError or OSError."""
    host, _, port = text.rpartition(":")
    if host:
        socket.inet_aton(host)
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)


def weight_of(value: float | str) -> float:
    """Read a weight; what nobody could balance by counts as 1. Raises ValueError or TypeError."""
    weight = float(value)
    return weight if 0 < weight < inf else 1.0


class ResolvedEndpoint(NamedTuple):
    """One endpoint, and where it is reached (None: gone)."""

    endpoint: api.Endpoint
    address: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """One list of endpoints, or the changes to one, with the addresses to reach them at."""

    revision: int
    complete: bool
    endpoints: list[api.Endpoint]
    addresses: dict[str, tuple[str, int] | None]  # None: gone

    @property
    def members(self) -> list[ResolvedEndpoint]:
        """Each endpoint with its address, in the order of the list."""
        return [ResolvedEndpoint(endpoint, self.addresses[endpoint.name]) for endpoint in self.endpoints]

    @classmethod
    def read(cls, data: Any) -> "EndpointSnapshot":
        """From discovery's JSON. Raises ValueError, KeyError, TypeError, AttributeError or OSError."""
        members = [_read_member(member) for member in data["members"]]
        return cls(
            revision=int(data["revision"]),
            complete=bool(data["complete"]),
            endpoints=[member.endpoint for member in members],
            addresses={member.endpoint.name: member.address for member in members},
        )


def _read_member(member: dict[str, Any]) -> ResolvedEndpoint:
    """One entry. One of an unknown state gets nothing new, as if it were draining."""
    state = STATES.get(member["phase"], api.EndpointState.DRAINING)
    endpoint = api.Endpoint(
        str(member["id"]),
        state,
        str(member.get("locality", "")),
        int(member.get("cell", 0)),
        weight_of(member.get("size", 1.0)),
        int(member.get("up_since_ms", 0)) * 1000,
    )
    is_gone = state is api.EndpointState.GONE
    return ResolvedEndpoint(endpoint, None if is_gone else address_of(member["host_port"]))
