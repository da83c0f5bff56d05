"""The interface of the decision module: its settings, its events and its actions.

Everything here speaks of load balancing (servers, connections, drains, health checks) and nothing of any wire
protocol. All times are integers on one clock that the host chooses and that never goes back; the unit stands
in the name (`_us`: microseconds).
"""

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf, isfinite
from typing import TypeAlias

LoadReport: TypeAlias = dict[str, float]
"""The figures of a server's load report by their names in `LoadMetric`; each is finite and 0 or more."""


class LoadMetric(StrEnum):
    """A figure of a load report."""

    LOAD = "load"  # work over capacity; 1.0 is full
    BUSY_SHARE = "busy"  # share of the cores in use
    BACKLOG_S = "backlog_s"  # seconds of work piled up
    IN_FLIGHT = "inflight"  # requests in work
    QUEUE_LENGTH = "queue"  # requests that wait
    LATENCY_MS = "latency_ms"
    SERVED_PER_S = "served_per_s"
    ERRORS_PER_S = "errors_per_s"


class Idempotency(StrEnum):
    """What a second attempt of a request may do."""

    IDEMPOTENT = "safe"  # a repeat does no harm
    IDEMPOTENCY_KEY = "keyed"  # servers of one deduplication scope discard a repeat, within a window
    NON_IDEMPOTENT = "unsafe"  # a repeat may take effect twice


class DeduplicationScope(StrEnum):
    """Which servers discard a repeat of a request that carries an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
    UNKNOWN = "unknown"  # a word that this version does not know: nobody is relied on to discard a repeat

    def holds_both(self, first: "Endpoint", second: "Endpoint") -> bool:
        """Whether these two servers discard each other's repeats."""
        match self:
            case DeduplicationScope.ALL:
                return True
            case DeduplicationScope.ZONE:
                return first.zone == second.zone
            case DeduplicationScope.CELL:
                return first.cell == second.cell
            case DeduplicationScope.UNKNOWN:
                return False


class EndpointState(StrEnum):
    """The state of a server in the list of servers."""

    READY = "ready"
    DRAINING = "draining"  # completes what it holds and wants nothing new
    GONE = "gone"


class EndpointUpdateKind(StrEnum):
    """What an update of the list of servers holds."""

    DELTA = "delta"  # the endpoints that changed
    FULL = "full"  # the whole list
    CACHED = "cached"  # the whole list, maybe out of date
    FAILED = "failed"  # nothing: a call to discovery failed
    MOVED = "moved"  # nothing: discovery is at another address from now on


class AttemptOutcome(StrEnum):
    """How an attempt, an established connection or a health check ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # the server turned it away, and it has not run
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"  # given up before anything was sent; the server has not failed

    @property
    def is_failure(self) -> bool:
        """Whether it speaks against the server."""
        return self not in (AttemptOutcome.OK, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT)

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have acted on the request."""
        without_effect = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
        return self not in without_effect


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """What one class of connection asks for, and what a repeat of its setup would do."""

    name: str
    latency_objective_us: int  # a setup within this time counts in full
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for IDEMPOTENCY_KEY
    deduplication_window_us: int = 0  # for IDEMPOTENCY_KEY: for how long a repeat is discarded
    priority_weight: float = 1.0  # value of a well-served second (or request)
    message_latency_objective_us: int = 0  # of a message on an open connection; 0: not known

    @property
    def repeat_window_us(self) -> float:
        """For how long after an attempt that may have run a repeat is harmless, at the right servers."""
        if self.idempotency == Idempotency.IDEMPOTENT:
            return inf
        return self.deduplication_window_us if self.idempotency == Idempotency.IDEMPOTENCY_KEY else 0

    @property
    def is_client_retry_harmless(self) -> bool:
        """Whether the client may come again, to any balancer, though an attempt may have run."""
        is_keyed = self.idempotency == Idempotency.IDEMPOTENCY_KEY
        is_discarded_anywhere = is_keyed and self.deduplication_scope == DeduplicationScope.ALL
        return is_discarded_anywhere or self.idempotency == Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one balancer. Raises ValueError for figures that nobody could balance by."""

    fleet_size: int  # balancers that share the servers
    zone: str
    classes: dict[str, ServiceClass]
    max_attempts: int
    slow_start_initial_capacity: float  # share of its capacity that a server starts with, at least
    slow_start_duration_us: int  # a server that started longer ago has its full capacity
    slow_start_overload_factor: (
        float  # sent this multiple of its present capacity, a server in slow start fails
    )
    slow_start_overload_window_us: int = 1_500_000  # if that goes on for so long
    poll_endpoints: bool = False  # the list of servers has to be asked for
    poll_interval_us: int = 10_000_000  # who has not asked for so long is held to know what was listed then
    health_checks_enabled: bool = True
    load_metrics: tuple[str, ...] = ()  # the figures that a load report may hold
    retry_after_enabled: bool = False  # a rejection may tell the client when to come again
    max_retry_after_us: int = 0
    reports_message_latency: bool = True  # MessageLatencyChanged comes for servers whose messages take long
    cross_zone_cost: float = 0.0  # points of the result for each request that crosses zones

    def __post_init__(self) -> None:
        for name in ("fleet_size", "max_attempts", "slow_start_overload_window_us"):
            if getattr(self, name) < 1:
                raise ValueError(f"settings: {name} must be 1 or more")
        for name in ("slow_start_duration_us", "max_retry_after_us"):
            if getattr(self, name) < 0:
                raise ValueError(f"settings: {name} must not be negative")
        for name in ("slow_start_initial_capacity", "slow_start_overload_factor"):
            if not isfinite(getattr(self, name)) or getattr(self, name) < 0:
                raise ValueError(f"settings: {name} must be a number of 0 or more")
        if not self.classes:
            raise ValueError("settings: classes must name one class or more")


@dataclass(slots=True)
class Endpoint:
    """One server in the list of servers."""

    name: str
    state: EndpointState
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_us: int = 0  # when its process last started; 0: long ago


# Events


@dataclass(slots=True)
class EndpointUpdate:
    """The list of servers, or its changes; without endpoints if the kind is FAILED or MOVED."""

    kind: EndpointUpdateKind
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """A client wants a connection. It has to get exactly one final answer."""

    id: str
    service_class: str
    expires_in_us: int
    key: str = ""  # of the client
    tenant: str = ""
    midflow: bool = False  # packets of a connection that some server may still hold
    reconnecting: bool = False  # the client comes again after a break or a migration
    client_retry: bool = False
    load_hint: float = 0.0
    affinity_group: str = ""  # connections of one group share work at a server


@dataclass(slots=True)
class ExistingConnection:
    """A connection that was open before this balancer started."""

    id: str
    service_class: str
    server: str
    key: str = ""
    tenant: str = ""


@dataclass(slots=True)
class Established:
    """An attempt has succeeded: the connection is open."""

    id: str
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt, or the connection that it set up, has ended."""

    id: str
    attempt: int
    server: str
    outcome: AttemptOutcome
    elapsed_us: int = 0
    closed: bool = False  # the client has its final answer, or has left
    report: LoadReport | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has left and needs no answer."""

    id: str


@dataclass(slots=True)
class HealthCheckResult:
    """A health check has ended."""

    server: str
    outcome: AttemptOutcome
    elapsed_us: int = 0
    report: LoadReport | None = None


@dataclass(slots=True)
class ConnectionLoadChanged:
    """The load of a connection has changed, in microseconds of work a second."""

    id: str
    server: str
    load: float


@dataclass(slots=True)
class MessageLatencyChanged:
    """Messages at this connection's server now take so long."""

    id: str
    server: str
    latency_ms: float


@dataclass(slots=True)
class TimerFired:
    """A timer that the module has set is due."""

    token: str


@dataclass(slots=True)
class ShutdownStarted:
    """This balancer ends within seconds: whoever waits for an answer has to get it now."""


Event: TypeAlias = (
    EndpointUpdate
    | Request
    | ExistingConnection
    | Established
    | AttemptEnded
    | ClientDisconnected
    | HealthCheckResult
    | ConnectionLoadChanged
    | MessageLatencyChanged
    | TimerFired
    | ShutdownStarted
)

# Actions


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
