"""The actions that the decision module returns."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(slots=True)
class StartAttempt:
    """Try to set the connection up at this server. A time-out of 0: until the client's time is out."""

    id: str
    server: str
    timeout_us: int = 0


@dataclass(slots=True)
class Reject:
    """Final answer: turned away, and a retry is harmless (after this time, unless it is 0)."""

    id: str
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about effects."""

    id: str


@dataclass(slots=True)
class Migrate:
    """Close an open connection politely; its client comes again, to this balancer or another."""

    id: str


@dataclass(slots=True)
class CheckHealth:
    """Ask a server for its load."""

    server: str


@dataclass(slots=True)
class SetTimer:
    """Fire a timer after this time."""

    delay_us: int
    token: str


@dataclass(slots=True)
class WatchEndpoints:
    """Ask for the changes of the list of servers from now on."""


Action: TypeAlias = StartAttempt | Reject | Fail | Migrate | CheckHealth | SetTimer | WatchEndpoints
