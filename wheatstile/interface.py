"""The interface of the decision module: its settings, the events it is told, the actions it answers.

Everything here speaks of balancing (servers, connections, drains, probes) and nothing of any wire.
All times are integers in microseconds on one clock that the host chooses and that never goes back.
"""

from dataclasses import dataclass, field
from math import isfinite
from typing import TypeAlias

Report: TypeAlias = dict[str, float]


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """What one class of connection asks for, and what a repeat of its set-up would do."""

    name: str
    aim: int  # a set-up within this time counts in full
    repeat: str = "safe"  # "safe", "keyed" (repeats are discarded within a group) or "unsafe"
    scope: str = "all"  # for "keyed": the group that discards repeats, "all", "zone" or "cell"
    window: int = 0  # for "keyed": how long the group remembers
    worth: float = 1.0  # of a well-served second (or request)
    message_aim: int = 0  # a message on an open connection is wanted within this time; 0: not told


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer is told when it starts. Raises ValueError for figures nobody could balance by."""

    fleet_size: int  # balancers that share the servers
    zone: str
    classes: dict[str, ServiceClass]
    max_attempts: int
    cold_from: float  # share of its capacity that a server starts at, or better
    warm_after: int  # a server that started so long ago is warm
    cold_multiple: float  # a cold server falls over when sent this many times its present capacity
    cold_window: int = 1_500_000  # for so long
    list_on_request: bool = False  # the server list must be asked for
    ask_every: int = 10_000_000  # whoever has not asked for so long counts as told of what was listed then
    may_probe: bool = True
    report_names: tuple[str, ...] = ()  # values that a report may hold
    retry_advice: bool = False  # a refusal may tell the client when to come again
    max_retry_advice: int = 0
    tells_delay: bool = True  # DelayNotes come for servers whose messages take long
    cross_price: float = 0.0  # points of the result for each request that crosses zones

    def __post_init__(self) -> None:
        for name in ("fleet_size", "max_attempts", "cold_window"):
            if getattr(self, name) < 1:
                raise ValueError(f"settings: {name} must be 1 or more")
        for name in ("warm_after", "max_retry_advice"):
            if getattr(self, name) < 0:
                raise ValueError(f"settings: {name} must not be negative")
        for name in ("cold_from", "cold_multiple"):
            if not isfinite(getattr(self, name)) or getattr(self, name) < 0:
                raise ValueError(f"settings: {name} must be a number of 0 or more")
        if not self.classes:
            raise ValueError("settings: classes must name one class or more")


@dataclass(slots=True)
class ListEntry:
    """One server as the list has it. State is "ready", "draining" or "gone"."""

    server: str
    state: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started: int = 0  # when its process last started; 0: long ago


# Events: what a balancer is told.


@dataclass(slots=True)
class ServerList:
    """The server list. Kind is "delta", "full" or "cached" (full, maybe old).

    Without entries: "failed" (a call) or "moved" (whoever tells the list is elsewhere from now on).
    """

    kind: str
    entries: list[ListEntry] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """A client wants a connection; it is owed exactly one final answer."""

    id: str
    service: str
    expires_in: int
    key: str = ""
    tenant: str = ""
    midflow: bool = False  # packets of a connection that some server may still hold
    returning: bool = False  # the client comes again after a break or a move
    retry: bool = False
    load_hint: float = 0.0
    group: str = ""  # connections of one group share work at a server


@dataclass(slots=True)
class OpenConnection:
    """A connection that stood before this balancer started."""

    id: str
    service: str
    server: str
    key: str = ""
    tenant: str = ""


@dataclass(slots=True)
class Established:
    """The connection stands."""

    id: str
    attempt: int
    server: str
    elapsed: int


@dataclass(slots=True)
class AttemptEnded:
    """How an attempt, or the connection that it set up, ended.

    Outcome is "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled" or "moot".
    """

    id: str
    attempt: int
    server: str
    outcome: str
    elapsed: int = 0
    closed: bool = False  # nothing more is owed
    report: Report | None = None


@dataclass(slots=True)
class ClientLeft:
    """The client gave up; nothing more is owed."""

    id: str


@dataclass(slots=True)
class Probed:
    """What a probe found. Outcome is "ok" or why it failed."""

    server: str
    outcome: str
    elapsed: int = 0
    report: Report | None = None


@dataclass(slots=True)
class LoadNote:
    """A connection's load has changed: work a second, in microseconds."""

    id: str
    server: str
    load: float


@dataclass(slots=True)
class DelayNote:
    """Messages at this connection's server now take this many milliseconds."""

    id: str
    server: str
    delay_ms: float


@dataclass(slots=True)
class TimerFired:
    """A timer that the module set has come due."""

    token: str


@dataclass(slots=True)
class Closing:
    """This balancer ends within seconds: whoever is still owed an answer has to get it now."""


Event: TypeAlias = (
    ServerList
    | Request
    | OpenConnection
    | Established
    | AttemptEnded
    | ClientLeft
    | Probed
    | LoadNote
    | DelayNote
    | TimerFired
    | Closing
)

# Actions: what a balancer answers.


@dataclass(slots=True)
class Send:
    """Try to set the connection up at this server; 0 as time-out: until the client gives up."""

    id: str
    server: str
    timeout: int = 0


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, coming again is harmless (and advised after this time, if not 0)."""

    id: str
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about effects."""

    id: str


@dataclass(slots=True)
class Move:
    """Close an open connection politely; its client will come again, here or elsewhere."""

    id: str


@dataclass(slots=True)
class Probe:
    """Ask a server for its load."""

    server: str


@dataclass(slots=True)
class SetTimer:
    """Tell the module when this much time has passed."""

    delay: int
    token: str


@dataclass(slots=True)
class WatchList:
    """Ask for the server list's changes from now on."""


Action: TypeAlias = Send | Refuse | Fail | Move | Probe | SetTimer | WatchList
