"""The events that the decision module handles."""

from dataclasses import dataclass, field
from typing import TypeAlias

from wheatstile.interface.endpoint import Endpoint, LoadReport
from wheatstile.interface.enumerations import AttemptOutcome, EndpointUpdateKind
from wheatstile.interface.timers import TimerToken


@dataclass(slots=True)
class EndpointUpdate:
    """The endpoint list, or changes to it. It has no endpoints if the kind is FAILED or MOVED."""

    kind: EndpointUpdateKind
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """A client requests a connection. The request must get exactly one final answer."""

    id: str
    service_class: str
    expires_in_us: int  # time until the client stops waiting
    key: str = ""  # identifies the client across reconnections; empty: unknown
    tenant: str = ""
    midflow: bool = False  # the client's packets belong to a connection that a server may still have open
    reconnecting: bool = False  # the client reconnects after a broken connection or a migration
    client_retry: bool = False  # the client marks the request as a repeat
    load_hint: float = 0.0  # load that the client expects to cause
    affinity_group: str = ""  # connections of one group at the same server share work


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
    attempt: int  # number of the attempt, from 0
    server: str
    elapsed_us: int  # time since the start of the attempt


@dataclass(slots=True)
class AttemptEnded:
    """An attempt, or the connection that it set up, has ended."""

    id: str
    attempt: int  # number of the attempt, from 0
    server: str
    outcome: AttemptOutcome
    elapsed_us: int = 0  # time since the start of the attempt
    closed: bool = False  # the client has its final answer, or has disconnected
    report: LoadReport | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected and needs no answer."""

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
    """The load of a connection has changed. The unit is microseconds of work per second."""

    id: str
    server: str
    load: float


@dataclass(slots=True)
class MessageLatencyChanged:
    """The latency of messages at this connection's server has changed."""

    id: str
    server: str
    latency_ms: float


@dataclass(slots=True)
class TimerFired:
    """A timer that the module set has fired."""

    token: TimerToken


@dataclass(slots=True)
class ShutdownStarted:
    """This balancer will exit within seconds: every waiting request must be answered now."""


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
