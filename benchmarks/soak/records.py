"""What clients, servers, discovery and balancer processes saw in one run. All times are of the event loop."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Ending(StrEnum):
    """How a client's connection ended, as the client saw it."""

    OPEN = "still open"
    DISCONNECTED = "the client disconnected"
    MIGRATED = "MOVE"
    SERVED = "BYE"
    REJECTED = "BUSY"
    FAILED = "another answer"
    CLOSED = "closed without a final line"


class Outcome(StrEnum):
    """How a server treated an attempt."""

    ESTABLISHED = "UP"
    OVERLOADED = "BUSY"
    ERROR = "ERR"
    RESET = "reset"
    NO_ANSWER = "no answer"

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have taken effect."""
        return self is not Outcome.OVERLOADED


@dataclass(frozen=True)
class ReceivedLine:
    """A line that a client received."""

    at_s: float
    text: str


@dataclass(frozen=True)
class Echo:
    """A line that a client sent on a session, and the time until it came back."""

    sent_at_s: float
    delay_s: float


@dataclass
class ClientRequest:
    """One request of a client, and the session that it became."""

    id: str
    service_class: str
    balancer: BalancerLife
    sent_at_s: float
    wait_s: float
    answer: ReceivedLine | None = None
    ending: Ending = Ending.OPEN
    ended_at_s: float | None = None
    disconnected_at_s: float | None = None
    echoes: list[Echo] = field(default_factory=list)
    unexpected_lines: list[ReceivedLine] = field(default_factory=list)

    @property
    def is_established(self) -> bool:
        """Whether the answer was `UP`."""
        return self.answer is not None and self.answer.text.startswith("UP ")

    def end(self, ending: Ending, at_s: float) -> None:
        """Record how and when the connection ended."""
        self.ending = ending
        self.ended_at_s = at_s


@dataclass
class Attempt:
    """One open line that a server received."""

    id: str
    server: str
    received_at_s: float
    receipt: str
    outcome: Outcome = Outcome.NO_ANSWER
    ended_at_s: float | None = None
    ended_by_server: bool = False


@dataclass(frozen=True)
class Notification:
    """A server's phase that discovery has written to a balancer."""

    at_s: float
    server: str
    phase: str


@dataclass
class BalancerLife:
    """One process of a balancer, from its start to its end."""

    name: str
    launched_at_s: float
    terminated_at_s: float | None = None
    """The time of the first SIGTERM."""
    killed_at_s: float | None = None
    """The time of SIGKILL."""
    was_killed_outright: bool = False
    exited_at_s: float | None = None
    exit_status: int | None = None
    signals: list[str] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    """Lines of the log with the level `error`, and what was left behind at the end."""


@dataclass
class RunRecord:
    """Everything that one run recorded."""

    seed: int
    deduplication_window_s: float
    drain_grace_s: float
    has_crowd: bool
    requests: list[ClientRequest] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    lives: list[BalancerLife] = field(default_factory=list)
    unresponsive: list[tuple[str, float, float]] = field(default_factory=list)
    """Server, begin and end of each time in which a server answered nothing."""
    max_lag_s: float = 0.0
    """The longest delay of the soak's own event loop."""

    def attempts_of(self, id: str) -> list[Attempt]:
        """Return the attempts of a request in the order of their arrival."""
        return [attempt for attempt in self.attempts if attempt.id == id]
