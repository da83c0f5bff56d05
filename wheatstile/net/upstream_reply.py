"""Sans-I/O parser for outcomes and load reports in the lines of servers."""

from dataclasses import dataclass

from wheatstile import interface as api
from wheatstile.config import reports

# Load metric names on the wire, mapped to internal names.
LOAD_METRICS: dict[str, str] = {
    "inflight": api.LoadMetric.IN_FLIGHT.value,
    "queue": api.LoadMetric.QUEUE_LENGTH.value,
    "util": api.LoadMetric.BUSY_SHARE.value,
    "latency_ms": api.LoadMetric.LATENCY_MS.value,
    "qps": api.LoadMetric.SERVED_PER_S.value,
    "eps": api.LoadMetric.ERRORS_PER_S.value,
    "x0": api.LoadMetric.LOAD.value,
    "x1": api.LoadMetric.BACKLOG_S.value,
}
# Outcomes by keyword, for lines that end an attempt or a session.
FINAL_OUTCOMES = {
    b"BYE": api.AttemptOutcome.OK,
    b"MOVE": api.AttemptOutcome.CANCELLED,
    b"ERR": api.AttemptOutcome.ERROR,
    b"BUSY": api.AttemptOutcome.OVERLOADED,
}
HEALTH_CHECK_REPLY = b"PONG"


@dataclass(frozen=True, slots=True)
class Reply:
    """A parsed line of a server: the outcome and, if present, the load report."""

    outcome: api.AttemptOutcome
    report: api.LoadReport | None = None


def parse_load_report(text: bytes) -> api.LoadReport | None:
    """Parse the load report at the end of a line. Return None if it contains no valid metric."""
    return reports.parse_load_report(text.decode("latin-1"), "=", LOAD_METRICS) or None


def parse_final_reply(line: bytes) -> Reply:
    """Parse a line that ends an attempt or a session. An unknown keyword has the outcome ERROR."""
    keyword, _, rest = line.strip().partition(b" ")
    return Reply(FINAL_OUTCOMES.get(keyword, api.AttemptOutcome.ERROR), parse_load_report(rest))


def parse_health_check_reply(line: bytes) -> Reply:
    """Parse the answer to a health check. b"" means that the connection was closed."""
    if not line:
        return Reply(api.AttemptOutcome.RESET)
    keyword, _, rest = line.strip().partition(b" ")
    if keyword == HEALTH_CHECK_REPLY:
        return Reply(api.AttemptOutcome.OK, parse_load_report(rest))
    return parse_final_reply(line)
