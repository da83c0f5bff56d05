"""The records of one connection: its phase, its attempts, and the exploration that moved it."""

from dataclasses import dataclass, field
from enum import Enum, auto

from wheatstile import interface as api
from wheatstile.decisions.placement import RANDOM
from wheatstile.decisions.server import Server


class ConnectionPhase(Enum):
    """The phases of a connection, from its request on."""

    WAITING = auto()  # no attempt is in flight
    ATTEMPTING = auto()  # one attempt is in flight
    ESTABLISHED = auto()
    ENDED = auto()  # answered, closed, migrated, or the client has disconnected


_ESTABLISHED = ConnectionPhase.ESTABLISHED  # cached: access to an enumeration's member is slow in Python 3.11


@dataclass(frozen=True, slots=True)
class FirstForward:
    """The first attempt that may have run."""

    at_us: int
    server: Server


@dataclass(slots=True, eq=False)
class ExplorationMove:
    """A migration to a drawn server, and possibly back to the origin. Written by `Exploration`."""

    origin: Server
    target: Server
    x_i: float  # load of the origin, read just before the move
    gamma: float  # exploration probability of the slot of the move
    expires_at_us: int = 0  # the client is recognized until then
    is_return: bool = False

    @property
    def destination(self) -> Server:
        """The server that the client is to be sent to when it reconnects."""
        return self.origin if self.is_return else self.target


@dataclass(slots=True, eq=False)
class Connection:
    """A request that waits for its answer, or the open connection that it became.

    `ConnectionTable` writes the phase and the attempts, `Exploration` the move, `RequestLifecycle` the rest.
    """

    id: str
    key: str  # identifies the client; empty: unknown
    service_class: api.ServiceClass
    deadline_us: int
    is_repeated_setup: bool = False  # an earlier setup failed, here or at another balancer
    phase: ConnectionPhase = ConnectionPhase.WAITING
    placement_hash: int = RANDOM  # seed of the next candidates
    attempts: int = 0  # number of attempts so far
    server: Server | None = None  # where the attempt is in flight or the connection open
    candidates: list[Server] = field(
        default_factory=list
    )  # servers whose health checks the request waits for
    candidate_draws: int = 0
    next_decision_at_us: int = 0  # due time of the request's last timer; earlier timers are ignored
    first_forward: FirstForward | None = None
    established_at_us: int = 0
    load: float = 1.0  # work at its server, as last reported
    exploration: ExplorationMove | None = None  # the move that brought the connection to its server

    @property
    def is_established(self) -> bool:
        """Whether the connection is open."""
        return self.phase is _ESTABLISHED
