"""The load of one server, derived from health checks, load reports and message latencies.

Load is work divided by capacity (the paper's X); at 1.0 the server is full.
"""

from wheatstile.interface import LoadMetric, LoadReport

OVERLOAD_THRESHOLD = 0.7  # above this load, messages begin to miss their latency objectives
SEVERE_OVERLOAD_THRESHOLD = 0.8  # above this load, a single report is sufficient evidence despite its noise
UNREACHABLE_LOAD = 1e6  # recorded for a server that does not answer a health check
MIN_LOAD_AT_GROWING_LATENCY = 1.0  # lower bound of the load while message latency is growing
COUNT_METRICS = (LoadMetric.IN_FLIGHT, LoadMetric.QUEUE_LENGTH)  # the capacity to divide them by is unknown
HALF_THRESHOLD_COUNT = 100  # this count corresponds to a load of half of OVERLOAD_THRESHOLD
LOAD_METRIC_PREFERENCE = (LoadMetric.LOAD, LoadMetric.BUSY_SHARE, LoadMetric.BACKLOG_S, *COUNT_METRICS)


def load_from_report(report: LoadReport) -> float | None:
    """Return the load in a report, from the first metric of LOAD_METRIC_PREFERENCE that it contains.

    A count ranks servers but never reaches OVERLOAD_THRESHOLD. Return None if the report has no such metric.
    """
    for metric in LOAD_METRIC_PREFERENCE:
        if metric in report:
            value = report[metric]
            return _load_from_count(value) if metric in COUNT_METRICS else value
    return None


def _load_from_count(count: float) -> float:
    return OVERLOAD_THRESHOLD * count / (count + HALF_THRESHOLD_COUNT)


class ServerLoad:
    """The last known load of one server."""

    __slots__ = ("_message_latency_ms", "lower_bound", "reported_at_us", "value")

    def __init__(self) -> None:
        self.value: float | None = None  # last reported load; None: unknown
        self.reported_at_us = 0  # time of the last report
        self.lower_bound = 0.0  # implied by the message latency, which is more recent than a report
        self._message_latency_ms = 0.0

    @property
    def is_measured(self) -> bool:
        """True if a load was reported and no health check has failed since then."""
        return self.value is not None and self.value != UNREACHABLE_LOAD

    def record_report(self, report: LoadReport, now_us: int) -> None:
        """Record the load in a report; the load becomes unknown if the report contains none."""
        self.value = load_from_report(report)
        self.reported_at_us = now_us

    def record_message_latency(self, latency_ms: float) -> None:
        """Record a message latency. If it is longer than the last one, it sets a lower bound of the load."""
        is_growing = latency_ms > self._message_latency_ms
        self.lower_bound = MIN_LOAD_AT_GROWING_LATENCY if is_growing else 0.0
        self._message_latency_ms = latency_ms

    def mark_unreachable(self) -> None:
        """Record that the server did not answer a health check."""
        self.value = UNREACHABLE_LOAD

    def mark_unknown(self) -> None:
        """Record that the load is unknown."""
        self.value = None
