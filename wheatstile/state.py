"""What a balancer keeps of servers, connections and moves between its decisions. Nothing here decides."""

from collections.abc import Callable
from dataclasses import dataclass, field

from wheatstile import interface as api


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one server."""

    endpoint: api.Endpoint
    hash: int  # of its name
    acceptance_ratio: float = 1.0  # of the draws that meet an entry of its own, those that it takes
    tokens: float = 0.0  # this balancer's part of a cold server's budget
    tokens_at: int = 0  # when it last grew
    chance: float = 1.0  # drawn from 0 to 1: a part of a request above it lets one pass; 1: it has been used
    chance_until: int = 0  # it stands until then
    sent_at: int = -1  # when it was last sent an attempt
    x: float | None = None  # the last probed load over capacity; None: unknown, not idle
    x_at: int = 0  # when it was read
    probing: bool = False
    waiting: list[tuple[Callable[["Connection"], None], "Connection"]] = field(default_factory=list)
    relief_at: int = 0
    delay: float = 0.0  # of messages here, in ms
    least_x: float = 0.0  # proved by a delay that grows, whatever late reports say
    suspect_until: int = 0
    failures: int = 0


@dataclass(slots=True, eq=False)
class Connection:
    """A request that is owed an answer, or the open connection that it became."""

    id: str
    key: str
    kind: api.ServiceClass
    deadline: int
    again: bool  # a set-up that was tried before, here or elsewhere
    spot: int = 0  # hashed from the client's group or key; 0: random draws
    attempts: int = 0
    server: Server | None = None  # of the attempt that is out, or that stands
    out: bool = False
    pair: list[Server] = field(default_factory=list)  # the candidates whose answers it waits for
    pairs: int = 0  # that were drawn for it
    due: int = 0  # when it is looked at again
    left: "Move | None" = None  # the exploration that brought it here
    since: int = 0  # when it stood
    load: float = 1.0  # what it asks of its server, as last told
    ran: tuple[int, Server] | None = None  # when and where the first attempt went that may have run


@dataclass(slots=True, eq=False)
class Move:
    """One exploration: from a server whose load was read before, to a drawn one, or back."""

    origin: Server
    target: Server
    x_i: float
    gamma: float
    until: int = 0
    back: bool = False
