"""The interface of the decision module: its settings, its events and its actions.

It uses the terms of load balancing (server, connection, drain, health check) and is independent of any wire
protocol. All times are integers on one monotonic clock that the host provides. The suffix of a name gives
the unit (`_us`: microseconds).
"""

from wheatstile.interface.actions import (
    Action,
    CheckHealth,
    Fail,
    Migrate,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from wheatstile.interface.endpoint import (
    Endpoint,
    LoadReport,
)
from wheatstile.interface.enumerations import (
    AttemptOutcome,
    DeduplicationScope,
    EndpointState,
    EndpointUpdateKind,
    Idempotency,
    LoadMetric,
)
from wheatstile.interface.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionLoadChanged,
    EndpointUpdate,
    Established,
    Event,
    ExistingConnection,
    HealthCheckResult,
    MessageLatencyChanged,
    Request,
    ShutdownStarted,
    TimerFired,
)
from wheatstile.interface.settings import (
    ServiceClass,
    Settings,
)
from wheatstile.interface.timers import TimerKind, TimerToken

__all__ = [
    "Action",
    "AttemptEnded",
    "AttemptOutcome",
    "CheckHealth",
    "ClientDisconnected",
    "ConnectionLoadChanged",
    "DeduplicationScope",
    "Endpoint",
    "EndpointState",
    "EndpointUpdate",
    "EndpointUpdateKind",
    "Established",
    "Event",
    "ExistingConnection",
    "Fail",
    "HealthCheckResult",
    "Idempotency",
    "LoadMetric",
    "LoadReport",
    "MessageLatencyChanged",
    "Migrate",
    "Reject",
    "Request",
    "ServiceClass",
    "SetTimer",
    "Settings",
    "ShutdownStarted",
    "StartAttempt",
    "TimerFired",
    "TimerKind",
    "TimerToken",
    "WatchEndpoints",
]
