"""The actions that the decision module returns."""

from dataclasses import dataclass
from typing import TypeAlias

from wheatstile.interface.timers import TimerToken


@dataclass(slots=True)
class StartAttempt:
    """Attempt to set up a connection at a server."""

    id: str
    server: str
    timeout_us: int = 0  # 0: limited only by the client's deadline
    send_before_us: int | None = None  # end of the deduplication window; None: no limit


@dataclass(slots=True)
class Reject:
    """Reject a request as its final answer; a retry by the client is harmless."""

    id: str
    retry_after_us: int = 0  # time that the client should wait before a retry; 0: not specified


@dataclass(slots=True)
class Fail:
    """Fail a request as its final answer; the request may have had an effect."""

    id: str


@dataclass(slots=True)
class Migrate:
    """Ask the client of an open connection to reconnect, to this balancer or another."""

    id: str


@dataclass(slots=True)
class CheckHealth:
    """Request a load report from a server."""

    server: str


@dataclass(slots=True)
class SetTimer:
    """Set a timer that fires after a delay."""

    delay_us: int
    token: TimerToken


@dataclass(slots=True)
class WatchEndpoints:
    """Request the endpoint list, and watch it for changes."""


Action: TypeAlias = StartAttempt | Reject | Fail | Migrate | CheckHealth | SetTimer | WatchEndpoints
