"""The record of one run, with the observations of clients, servers, discovery and balancer processes.

All times are times of the event loop.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Ending(StrEnum):
    """The end of a client's connection as observed by the client."""

    OPEN = "still open"
    DISCONNECTED = "the client disconnected"
    MIGRATED = "MOVE"
    SERVED = "BYE"
    REJECTED = "BUSY"
    FAILED = "another answer"
    CLOSED = "closed without a final line"


class Outcome(StrEnum):
    """The outcome of an attempt, drawn by the server."""

    ESTABLISHED = "UP"
    OVERLOADED = "BUSY"
    ERROR = "ERR"
    RESET = "reset"
    NO_ANSWER = "no answer"

    @property
    def may_have_run(self) -> bool:
        """True if the server may have executed the request."""
        return self is not Outcome.OVERLOADED


@dataclass(frozen=True)
class ReceivedLine:
    """A line that a client received."""

    at_s: float
    text: str


@dataclass(frozen=True)
class Echo:
    """The round trip of one line that a client sent on a session."""

    sent_at_s: float
    delay_s: float


@dataclass
class ClientRequest:
    """One request of a client, and the session that it established.

    Attributes:
        balancer: the record of the balancer process that the client connected to.
        timeout_s: the client's timeout for the answer, sent in milliseconds as the field `d`.
        answer: the first line that the client received.
        disconnected_at_s: the time at which the client itself disconnected; None if it did not.
        unexpected_lines: received lines that are neither the answer nor part of the session.
    """

    id: str
    service_class: str
    balancer: ProcessRecord
    sent_at_s: float
    timeout_s: float
    answer: ReceivedLine | None = None
    ending: Ending = Ending.OPEN
    ended_at_s: float | None = None
    disconnected_at_s: float | None = None
    echoes: list[Echo] = field(default_factory=list)
    unexpected_lines: list[ReceivedLine] = field(default_factory=list)

    @property
    def is_established(self) -> bool:
        """True if the answer was UP."""
        return self.answer is not None and self.answer.text.startswith("UP ")

    def end(self, ending: Ending, at_s: float) -> None:
        """Record how and when the connection ended."""
        self.ending = ending
        self.ended_at_s = at_s


@dataclass
class Attempt:
    """One OPEN line that a server received.

    Attributes:
        id: the request id.
        receipt: the token that the server sends with UP, unique for each attempt.
    """

    id: str
    server: str
    received_at_s: float
    receipt: str
    outcome: Outcome = Outcome.NO_ANSWER
    ended_at_s: float | None = None
    ended_by_server: bool = False


@dataclass(frozen=True)
class Notification:
    """The phase of a server, sent to a balancer by discovery or in its configuration."""

    at_s: float
    server: str
    phase: str


@dataclass
class ProcessRecord:
    """The record of one balancer process from its start to its end."""

    name: str
    launched_at_s: float
    sigterm_at_s: float | None = None
    """The time of the first SIGTERM."""
    sigkill_at_s: float | None = None
    """The time of SIGKILL."""
    was_killed_without_sigterm: bool = False
    exited_at_s: float | None = None
    exit_status: int | None = None
    signals: list[str] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    """Log lines that report an error or are not JSON, and leaked descriptors and threads."""


@dataclass
class RunRecord:
    """The complete record of one run."""

    seed: int
    deduplication_window_s: float
    drain_grace_s: float
    has_idle_clients: bool
    requests: list[ClientRequest] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    process_records: list[ProcessRecord] = field(default_factory=list)
    unresponsive_periods: list[tuple[str, float, float]] = field(default_factory=list)
    """Server, begin and end of each period in which a server sent no answers."""
    max_loop_lag_s: float = 0.0
    """The maximum lag of the event loop of the soak test."""

    def attempts_of(self, id: str) -> list[Attempt]:
        """Return the attempts of a request in the order in which servers received them."""
        return [attempt for attempt in self.attempts if attempt.id == id]
