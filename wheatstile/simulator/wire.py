"""Translates the simulator's messages to events of the decision module, and the module's actions to lines.

Unknown messages, fields and values raise no error. A malformed message raises WireError.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from wheatstile import interface as api
from wheatstile.config.endpoints import parse_weight
from wheatstile.simulator.line import Fields

# These tables map words of the wire protocol to values of the interface.
OUTCOMES = {
    "pass": api.AttemptOutcome.OK,
    "fault": api.AttemptOutcome.ERROR,
    "no_room": api.AttemptOutcome.OVERLOADED,
    "too_slow": api.AttemptOutcome.TIMEOUT,
    "no_route": api.AttemptOutcome.CONNECT_FAILED,
    "cut": api.AttemptOutcome.RESET,
    "undone": api.AttemptOutcome.CANCELLED,
    "stale_send": api.AttemptOutcome.NOT_SENT,
}
STATES = {
    "Running": api.EndpointState.READY,
    "Stopping": api.EndpointState.DRAINING,
    "Deleted": api.EndpointState.GONE,
}
UPDATE_KINDS = {
    "update": api.EndpointUpdateKind.DELTA,
    "replace": api.EndpointUpdateKind.FULL,
    "restored": api.EndpointUpdateKind.CACHED,
    "unavailable": api.EndpointUpdateKind.FAILED,
}
# Both kinds of load check have the same name. Only the timer of a repeated check has a connection.
TIMER_NAMES = {
    api.TimerKind.EXPLORATION_SLOT: "slot",
    api.TimerKind.WATCH_ENDPOINTS: "list",
    api.TimerKind.LOAD_CHECK: "look",
    api.TimerKind.REPEATED_LOAD_CHECK: "look",
    api.TimerKind.CANDIDATE_TIMEOUT: "hold",
    api.TimerKind.REBALANCE: "relief",
}
BALANCER_TIMERS = {
    TIMER_NAMES[kind]: kind
    for kind in (api.TimerKind.EXPLORATION_SLOT, api.TimerKind.WATCH_ENDPOINTS, api.TimerKind.LOAD_CHECK)
}
CONNECTION_TIMERS = {
    TIMER_NAMES[kind]: kind
    for kind in (
        api.TimerKind.REPEATED_LOAD_CHECK,
        api.TimerKind.CANDIDATE_TIMEOUT,
        api.TimerKind.REBALANCE,
    )
}
TIMER_SEPARATOR = ":"  # separates a timer's name, due time and connection
Measurement: TypeAlias = api.ConnectionLoadChanged | api.MessageLatencyChanged
MEASUREMENTS: Mapping[int, type[Measurement]] = {  # keyed by the topic of a STATUS_NOTE
    1: api.ConnectionLoadChanged,
    2: api.MessageLatencyChanged,
}


class Message(StrEnum):
    """Messages that the host handles itself. EVENTS has the messages that become one event each."""

    BATCH_STARTED = "ROUND"
    BATCH_ENDED = "FLUSH"
    ENDPOINT_LIST = "ROSTER"
    ENDPOINT = "ROW"
    ENDPOINT_UPDATE = "FLEET"
    START_INSTANCE = "CONFIGURE"
    STOP_INSTANCE = "TEARDOWN"


def _request(fields: Fields) -> api.Request:
    return api.Request(
        fields.text("requestId"),
        fields.text("service"),
        fields.integer("expiresInUs"),
        fields.text("resource", ""),
        fields.text("tenant", ""),
        fields.flag("midflow"),
        fields.flag("reconnect"),
        fields.flag("retry"),
        fields.number("workHintUs", 0.0),
        fields.text("teamId", ""),
    )


def _existing_connection(fields: Fields) -> api.ExistingConnection:
    return api.ExistingConnection(
        fields.text("requestId"),
        fields.text("service"),
        fields.text("server"),
        fields.text("resource", ""),
        fields.text("tenant", ""),
    )


def _established(fields: Fields) -> api.Established:
    return api.Established(
        fields.text("requestId"), fields.integer("try"), fields.text("server"), fields.integer("rttUs", 0)
    )


def _attempt_ended(fields: Fields) -> api.AttemptEnded:
    return api.AttemptEnded(
        fields.text("requestId"),
        fields.integer("try"),
        fields.text("server"),
        _outcome(fields),
        fields.integer("rttUs", 0),
        fields.flag("last"),
        fields.load_report(),
    )


def _outcome(fields: Fields) -> api.AttemptOutcome:
    """Return the outcome. An unknown one counts as ERROR, since the server may have executed the request."""
    return OUTCOMES.get(fields.text("verdict"), api.AttemptOutcome.ERROR)


def _client_disconnected(fields: Fields) -> api.ClientDisconnected:
    return api.ClientDisconnected(fields.text("requestId"))


def _health_check_result(fields: Fields) -> api.HealthCheckResult:
    return api.HealthCheckResult(
        fields.text("server"), _outcome(fields), fields.integer("rttUs", 0), fields.load_report()
    )


def _measurement(fields: Fields) -> Measurement | None:
    kind = MEASUREMENTS.get(fields.integer("topic"))
    if kind is None:
        return None
    return kind(fields.text("requestId"), fields.text("server"), fields.number("x", 0.0))


def format_timer(token: api.TimerToken) -> str:
    """Return a timer's text: `NAME`, or `NAME:DUE:CONNECTION` for a timer of one connection."""
    name = TIMER_NAMES[token.kind]
    if not token.connection_id:
        return name
    return TIMER_SEPARATOR.join((name, str(token.due_us or ""), token.connection_id))


def parse_timer(text: str) -> api.TimerToken | None:
    """Parse a text that `format_timer` returned. Return None for any other text."""
    name, _, rest = text.partition(TIMER_SEPARATOR)
    due, _, connection_id = rest.partition(TIMER_SEPARATOR)  # a connection's id may contain the separator
    if not connection_id:
        kind = BALANCER_TIMERS.get(name)
        return api.TimerToken(kind) if kind else None
    connection_kind = CONNECTION_TIMERS.get(name)
    if connection_kind is None or not (due == "" or due.isdecimal()):
        return None
    return api.TimerToken(connection_kind, connection_id, int(due or 0))


def _timer_fired(fields: Fields) -> api.TimerFired | None:
    token = parse_timer(fields.text("tag"))
    return api.TimerFired(token) if token else None


# Messages that become one event each.
EVENTS: Mapping[str, Callable[[Fields], api.Event | None]] = {
    "ARRIVAL": _request,
    "EXISTING": _existing_connection,
    "ACCEPTED": _established,
    "RESOLVED": _attempt_ended,
    "ABORTED": _client_disconnected,
    "CHECKED": _health_check_result,
    "STATUS_NOTE": _measurement,
    "BELL": _timer_fired,
}


def parse_endpoint(fields: Fields) -> api.Endpoint:
    """Parse one row of an endpoint list. An unknown state counts as draining."""
    return api.Endpoint(
        fields.text("server"),
        STATES.get(fields.text("status"), api.EndpointState.DRAINING),
        fields.text("az", ""),
        fields.integer("cohort", 0),
        parse_weight(fields.number("share", 1.0)),
        fields.integer("startTimeUs", 0),
    )


class ActionLineFormat(NamedTuple):
    """The line of an action: the line's name, and the action's attribute for each key of the line."""

    name: str
    attributes: Mapping[str, str]
    constant: str = ""  # fixed last field of the line


ACTIONS: Mapping[type, ActionLineFormat] = {
    api.StartAttempt: ActionLineFormat(
        "TRANSMIT", {"requestId": "id", "server": "server", "limitUs": "timeout_us"}
    ),
    api.Reject: ActionLineFormat("SAY_NO", {"requestId": "id", "coolDownUs": "retry_after_us"}),
    api.Fail: ActionLineFormat("ABORT", {"requestId": "id"}),
    api.Migrate: ActionLineFormat("MIGRATE", {"requestId": "id"}),
    api.CheckHealth: ActionLineFormat("PROBE", {"server": "server"}),
    api.SetTimer: ActionLineFormat("ARM", {"waitUs": "delay_us", "tag": "token"}),
    api.WatchEndpoints: ActionLineFormat("STREAM_CHANGES", {}, "on=1"),
}


def action_line(instance_number: int, action: api.Action) -> str:
    """Format an action of an instance as a line of the reply."""
    line_format = ACTIONS[type(action)]
    line = f"{line_format.name}\tbalancer={instance_number}"
    for key, attribute in line_format.attributes.items():
        line += f"\t{key}={_format_value(getattr(action, attribute))}"
    return f"{line}\t{line_format.constant}" if line_format.constant else line


def _format_value(value: str | int | api.TimerToken) -> str:
    return format_timer(value) if isinstance(value, api.TimerToken) else str(value)


def ready_line(turn: str) -> str:
    """Return the line that ends the reply to a batch."""
    return f"READY\tturn={turn}"


def fault_line(instance_number: int, message: str) -> str:
    """Return the line that reports a fault, which ends the run. The message is put on one line."""
    one_line_message = " ".join(message.split())
    return f"FAULT\tbalancer={instance_number}\twhat={one_line_message}"
