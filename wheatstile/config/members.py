"""The resolver result: lists of servers in discovery's form, which the platform's file holds one of too."""

import socket
from dataclasses import dataclass
from math import inf
from typing import Any, NamedTuple

from wheatstile import interface as api

PHASES = {"ready": "ready", "draining": "draining", "gone": "gone"}


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


class Named(NamedTuple):
    """One server, and where it is reached (None: gone)."""

    entry: api.ListEntry
    address: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class ResolverResult:
    """One list of servers, or the changes to one, with the addresses to reach them at."""

    revision: int
    complete: bool
    entries: list[api.ListEntry]
    addresses: dict[str, tuple[str, int] | None]  # None: gone

    @property
    def members(self) -> list[Named]:
        return [Named(entry, self.addresses[entry.server]) for entry in self.entries]

    @classmethod
    def read(cls, data: Any) -> "ResolverResult":
        """From discovery's JSON. Raises ValueError, KeyError or TypeError on what has another form."""
        entries, addresses = [], {}
        for member in data["members"]:
            phase = PHASES.get(member["phase"], "draining")  # unknown: nothing new, as if it drained
            name, started = str(member["id"]), int(member.get("up_since_ms", 0))
            entries.append(
                api.ListEntry(
                    name,
                    phase,
                    str(member.get("locality", "")),
                    int(member.get("cell", 0)),
                    weight_of(member.get("size", 1.0)),
                    started * 1000,
                )
            )
            addresses[name] = None if phase == "gone" else address_of(member["host_port"])
        return cls(int(data["revision"]), bool(data["complete"]), entries, addresses)
