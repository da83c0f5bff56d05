"""The actions that the decision module returns."""

from dataclasses import dataclass
from typing import TypeAlias

from wheatstile.interface.timers import TimerToken


@dataclass(slots=True)
class StartAttempt:
    """Try to set the connection up at this server."""

    id: str
    server: str
    timeout_us: int = 0  # 0: until the client's deadline
    send_before_us: int | None = None  # end of the idempotency key's window; None: no limit


@dataclass(slots=True)
class Reject:
    """Final answer: rejected; a retry by the client is harmless."""

    id: str
    retry_after_us: int = 0  # how long the client should wait; 0: it is told no time


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have had an effect."""

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
    """Fire a timer after this delay."""

    delay_us: int
    token: TimerToken


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the list of servers for changes from now on."""


Action: TypeAlias = StartAttempt | Reject | Fail | Migrate | CheckHealth | SetTimer | WatchEndpoints
