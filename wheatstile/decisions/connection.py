"""The state of one connection: its phase, its attempts, and the exploration move that led to its server."""

from dataclasses import dataclass, field
from enum import Enum, auto

from wheatstile.decisions.placement_hash import RANDOM_PLACEMENT, next_placement_hash
from wheatstile.decisions.server import Server
from wheatstile.interface import AttemptOutcome, ServiceClass


class ConnectionPhase(Enum):
    """The phases of a connection, beginning with its request."""

    WAITING = auto()  # no attempt is in flight
    ATTEMPTING = auto()  # exactly one attempt is in flight
    ESTABLISHED = auto()
    ENDED = auto()  # answered, closed or migrated, or the client has disconnected


# Cached, since access to an enum member is slow in Python 3.11.
_WAITING = ConnectionPhase.WAITING
_ATTEMPTING = ConnectionPhase.ATTEMPTING
_ESTABLISHED = ConnectionPhase.ESTABLISHED
_ENDED = ConnectionPhase.ENDED


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """The first attempt of a request that may have run at a server."""

    at_us: int
    server: Server


@dataclass(slots=True, eq=False)
class ExplorationMove:
    """A migration to a random server, and possibly back to the origin. Only `Exploration` modifies it."""

    origin: Server
    target: Server
    x_i: float  # load of the origin, measured just before the move
    gamma: float  # exploration probability in the slot of the move
    expires_at_us: int = 0  # the client is recognized until this time
    is_return: bool = False

    @property
    def destination(self) -> Server:
        """The server to which the client is sent when it reconnects."""
        return self.origin if self.is_return else self.target


@dataclass(slots=True, eq=False)
class Connection:
    """A request that waits for its answer, or the open connection that it became.

    Only the methods of this class modify its fields, except `exploration_move`, which `Exploration` modifies.
    """

    id: str
    key: str  # identifies the client; empty: unknown
    service_class: ServiceClass
    deadline_us: int
    is_repeated_setup: bool = False  # an earlier setup failed, here or at another balancer
    phase: ConnectionPhase = ConnectionPhase.WAITING
    placement_hash: int = RANDOM_PLACEMENT  # seed of the next candidates
    attempts: int = 0  # number of attempts so far
    server: Server | None = None  # server of the attempt in flight or of the open connection
    candidates: list[Server] = field(default_factory=list)  # servers whose health checks are awaited
    candidate_draws: int = 0  # number of candidate pairs drawn so far
    next_decision_at_us: int = 0  # due time of the request's latest timer; earlier timers are ignored
    first_possible_execution: PossibleExecution | None = None  # None: no attempt may have run
    established_at_us: int = 0
    load: float = 1.0  # microseconds of work per second, as last reported
    exploration_move: ExplorationMove | None = None  # the move that led to the current server

    @property
    def is_established(self) -> bool:
        """True if the connection is open."""
        return self.phase is _ESTABLISHED

    def wait_for_candidates(self, candidates: list[Server]) -> None:
        """Record the candidates of the next attempt, and change the placement hash for the next draw."""
        self.is_repeated_setup = False
        self.candidates = candidates
        self.candidate_draws += 1
        self.placement_hash = next_placement_hash(self.placement_hash)

    def schedule_decision(self, due_us: int) -> None:
        """Record the due time of the next decision, which replaces any scheduled one."""
        self.next_decision_at_us = due_us

    def begin_attempt(self, server: Server) -> None:
        """Record that an attempt at a server is in flight."""
        self.phase = _ATTEMPTING
        self.server = server
        self.candidates = []
        self.attempts += 1

    def end_attempt(self, outcome: AttemptOutcome, started_at_us: int) -> None:
        """Record that the attempt in flight has failed, and that the request waits again."""
        self.phase = _WAITING
        self.is_repeated_setup = True
        if self.server and not self.first_possible_execution and outcome.may_have_run:
            self.first_possible_execution = PossibleExecution(started_at_us, self.server)

    def establish(self, now_us: int) -> None:
        """Record that the attempt in flight has succeeded, and that the connection is open."""
        self.phase = _ESTABLISHED
        self.established_at_us = now_us

    def restore(self, server: Server) -> None:
        """Record that the connection was open at a server before this balancer started."""
        self.phase = _ESTABLISHED
        self.server = server
        self.attempts = 1

    def record_load(self, load: float) -> None:
        """Record a reported load."""
        self.load = load

    def end(self) -> None:
        """Record that the connection has ended."""
        self.phase = _ENDED
