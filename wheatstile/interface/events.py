"""The events that the decision module handles."""

from dataclasses import dataclass, field
from typing import TypeAlias

from wheatstile.interface.endpoint import Endpoint, LoadReport
from wheatstile.interface.enumerations import AttemptOutcome, EndpointUpdateKind


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
