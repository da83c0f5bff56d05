"""The simulator's wire: lines to events, actions to lines. The tables of its names stand here.

No decision is made here. What is unknown is passed over; what is malformed raises WireError, whose
text names the fault for whoever reads the log.
"""

from collections.abc import Callable
from typing import Any

from wheatstile import interface as api
from wheatstile.config.endpoints import weight_of
from wheatstile.config.reports import report_in
from wheatstile.config.settings import REPORT_NAMES

# The wire's word -> the interface's word.
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
LIST_KINDS = {
    "update": api.EndpointUpdateKind.DELTA,
    "replace": api.EndpointUpdateKind.FULL,
    "restored": api.EndpointUpdateKind.CACHED,
    "unavailable": api.EndpointUpdateKind.FAILED,
}
Fields = dict[str, str]


class WireError(ValueError):
    """A line that does not keep to the wire's form."""


def split_line(line: str) -> tuple[str, Fields]:
    """The message's name and its fields."""
    name, *parts = line.split("\t")
    fields = {}
    for part in parts:
        key, mark, value = part.partition("=")
        if not mark:
            raise WireError(f"{name}: '{part}' is not name=value")
        fields[key] = value
    return name, fields


def text(fields: Fields, key: str) -> str:
    try:
        return fields[key]
    except KeyError:
        raise WireError(f"{key} is missing") from None


def whole(fields: Fields, key: str, default: int | None = None) -> int:
    value = fields.get(key)
    if value is None:
        if default is None:
            raise WireError(f"{key} is missing")
        return default
    try:
        return int(value)
    except ValueError:
        raise WireError(f"{key} is not a whole number: {value}") from None


def number(fields: Fields, key: str, default: float) -> float:
    try:
        return float(fields.get(key, default))
    except ValueError:
        raise WireError(f"{key} is not a number: {fields[key]}") from None


def flag(fields: Fields, key: str) -> bool:
    return fields.get(key, "0") == "1"


def report(fields: Fields) -> api.LoadReport | None:
    stats = fields.get("stats")
    return report_in(stats, ":", REPORT_NAMES) if stats else None


def _request(f: Fields) -> api.Request:
    return api.Request(
        text(f, "requestId"),
        text(f, "service"),
        whole(f, "expiresInUs"),
        f.get("resource", ""),
        f.get("tenant", ""),
        flag(f, "midflow"),
        flag(f, "reconnect"),
        flag(f, "retry"),
        number(f, "workHintUs", 0.0),
        f.get("teamId", ""),
    )


def _open(f: Fields) -> api.ExistingConnection:
    return api.ExistingConnection(
        text(f, "requestId"),
        text(f, "service"),
        text(f, "server"),
        f.get("resource", ""),
        f.get("tenant", ""),
    )


def _established(f: Fields) -> api.Established:
    return api.Established(text(f, "requestId"), whole(f, "try"), text(f, "server"), whole(f, "rttUs", 0))


def _ended(f: Fields) -> api.AttemptEnded | None:
    outcome = OUTCOMES.get(text(f, "verdict"))
    if outcome is None:
        # The attempt is over in a way this page does not know, so that it may have run.
        outcome = api.AttemptOutcome.ERROR
    return api.AttemptEnded(
        text(f, "requestId"),
        whole(f, "try"),
        text(f, "server"),
        outcome,
        whole(f, "rttUs", 0),
        flag(f, "last"),
        report(f),
    )


def _left(f: Fields) -> api.ClientDisconnected:
    return api.ClientDisconnected(text(f, "requestId"))


def _probed(f: Fields) -> api.HealthCheckResult:
    outcome = OUTCOMES.get(text(f, "verdict"), api.AttemptOutcome.ERROR)
    return api.HealthCheckResult(text(f, "server"), outcome, whole(f, "rttUs", 0), report(f))


def _note(f: Fields) -> api.Event | None:
    topic = whole(f, "topic")
    if topic == 1:
        return api.ConnectionLoadChanged(text(f, "requestId"), text(f, "server"), number(f, "x", 0.0))
    if topic == 2:
        return api.MessageLatencyChanged(text(f, "requestId"), text(f, "server"), number(f, "x", 0.0))
    return None


def _timer(f: Fields) -> api.TimerFired:
    return api.TimerFired(text(f, "tag"))


# Events that need nothing but their own line. CONFIGURE, ROSTER, ROW, FLEET and TEARDOWN are the host's.
EVENTS: dict[str, Callable[[Fields], api.Event | None]] = {
    "ARRIVAL": _request,
    "EXISTING": _open,
    "ACCEPTED": _established,
    "RESOLVED": _ended,
    "ABORTED": _left,
    "CHECKED": _probed,
    "STATUS_NOTE": _note,
    "BELL": _timer,
}


def list_entry(f: Fields) -> api.Endpoint:
    """One row of a server list. An unknown state gets no new connections, as if it drained."""
    return api.Endpoint(
        text(f, "server"),
        STATES.get(text(f, "status"), api.EndpointState.DRAINING),
        f.get("az", ""),
        whole(f, "cohort", 0),
        weight_of(number(f, "share", 1.0)),
        whole(f, "startTimeUs", 0),
    )


def server_list(kind: str, entries: list[api.Endpoint]) -> api.EndpointUpdate | None:
    """The list event; an unknown kind is passed over."""
    if kind not in LIST_KINDS:
        return None
    return api.EndpointUpdate(LIST_KINDS[kind], entries)


def _send(a: api.StartAttempt) -> str:
    return f"requestId={a.id}\tserver={a.server}\tlimitUs={a.timeout_us}"


def _refuse(a: api.Reject) -> str:
    return f"requestId={a.id}\tcoolDownUs={a.retry_after_us}"


# The action's type -> its name on the wire and its fields.
ACTIONS: dict[type, tuple[str, Callable[[Any], str]]] = {
    api.StartAttempt: ("TRANSMIT", _send),
    api.Reject: ("SAY_NO", _refuse),
    api.Fail: ("ABORT", lambda a: f"requestId={a.id}"),
    api.Migrate: ("MIGRATE", lambda a: f"requestId={a.id}"),
    api.CheckHealth: ("PROBE", lambda a: f"server={a.server}"),
    api.SetTimer: ("ARM", lambda a: f"waitUs={a.delay_us}\ttag={a.token}"),
    api.WatchEndpoints: ("STREAM_CHANGES", lambda a: "on=1"),
}


def action_line(instance: int, action: api.Action) -> str:
    """One line of a reply."""
    name, fields = ACTIONS[type(action)]
    return f"{name}\tbalancer={instance}\t{fields(action)}"


def fault_line(instance: int, message: str) -> str:
    """The line that ends a run with a plain message."""
    plain = " ".join(message.split())
    return f"FAULT\tbalancer={instance}\twhat={plain}"
