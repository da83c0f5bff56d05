"""Endpoint lists in the JSON format of discovery. The platform's file contains one under the key `known`."""

import socket
from dataclasses import dataclass
from math import inf
from typing import Any, NamedTuple

from wheatstile import interface as api
from wheatstile.config.units import US_PER_MS

STATES = {  # the keys are the values of `phase`
    "ready": api.EndpointState.READY,
    "draining": api.EndpointState.DRAINING,
    "gone": api.EndpointState.GONE,
}
MAX_PORT = 65535
DEFAULT_WEIGHT = 1.0


def parse_host_port(text: str) -> tuple[str, int]:
    """Parse HOST:PORT, where HOST is an IPv4 address. Raises ValueError or OSError."""
    host, _, port = text.rpartition(":")
    if host:
        socket.inet_aton(host)
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)


def parse_weight(value: float | str) -> float:
    """Return the weight as a number. DEFAULT_WEIGHT replaces one that is not positive and finite.

    Raises ValueError or TypeError if the value is not a number.
    """
    weight = float(value)
    return weight if 0 < weight < inf else DEFAULT_WEIGHT


class ResolvedEndpoint(NamedTuple):
    """An endpoint and its address."""

    endpoint: api.Endpoint
    address: tuple[str, int] | None  # None if the endpoint is gone


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """A complete endpoint list, or the changes to one, with the addresses of the endpoints."""

    revision: int
    complete: bool  # True if all endpoints that are not listed are gone
    endpoints: list[api.Endpoint]
    addresses: dict[str, tuple[str, int] | None]  # keys: names of the endpoints; None if one is gone

    @property
    def members(self) -> list[ResolvedEndpoint]:
        """Each endpoint with its address, in the order of the list."""
        return [ResolvedEndpoint(endpoint, self.addresses[endpoint.name]) for endpoint in self.endpoints]

    @classmethod
    def read(cls, data: Any) -> "EndpointSnapshot":
        """Read an endpoint list. Raises ValueError, KeyError, TypeError, AttributeError or OSError."""
        members = [_read_member(member) for member in data["members"]]
        return cls(
            revision=int(data["revision"]),
            complete=bool(data["complete"]),
            endpoints=[member.endpoint for member in members],
            addresses={member.endpoint.name: member.address for member in members},
        )


def _read_member(member: dict[str, Any]) -> ResolvedEndpoint:
    """Read one entry of the list. An unknown state counts as DRAINING, so the server gets no new sessions."""
    state = STATES.get(member["phase"], api.EndpointState.DRAINING)
    endpoint = api.Endpoint(
        name=str(member["id"]),
        state=state,
        zone=str(member.get("locality", "")),
        cell=int(member.get("cell", 0)),
        weight=parse_weight(member.get("size", DEFAULT_WEIGHT)),
        started_at_us=int(member.get("up_since_ms", 0)) * US_PER_MS,
    )
    is_gone = state is api.EndpointState.GONE
    return ResolvedEndpoint(endpoint, None if is_gone else parse_host_port(member["host_port"]))
