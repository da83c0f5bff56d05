"""Load: how it is read from reports, and from when on a server or the fleet counts as full."""

from wheatstile.decisions.state import BalancerState, Server
from wheatstile.interface import LoadMetric, LoadReport

OVERLOAD_THRESHOLD = 0.7  # no server is wanted beyond it: messages miss their objectives from about here
SEVERE_OVERLOAD_THRESHOLD = 0.8  # beyond it a single reading, with its noise, is enough to rebalance
UNREACHABLE_LOAD = 1e6  # of a server that did not say
ASSUMED_LOAD = 0.5  # in the mean, of a server that was not read within the time to live
LOAD_REPORT_TTL_US = 4_000_000
LEAST_MEAN_LOAD = 0.2  # that an estimate of capacity divides by
COUNT_METRICS = (LoadMetric.IN_FLIGHT, LoadMetric.QUEUE_LENGTH)  # rank servers and fill none
HALF_FULL_COUNT = 100  # a count of so many reads as half of OVERLOAD_THRESHOLD
LOAD_METRIC_PREFERENCE = (LoadMetric.LOAD, LoadMetric.BUSY_SHARE, LoadMetric.BACKLOG_S, *COUNT_METRICS)


def load_in(report: LoadReport) -> float | None:
    """X of the paper: load over capacity, or the nearest figure in the report; None if it has none."""
    metric = next((metric for metric in LOAD_METRIC_PREFERENCE if metric in report), None)
    if metric is None:
        return None
    if metric in COUNT_METRICS:
        return OVERLOAD_THRESHOLD * report[metric] / (report[metric] + HALF_FULL_COUNT)
    return report[metric]


def mean_load(state: BalancerState) -> float:
    """The mean over the ready servers, each counted once; worked out once in an event.

    Old readings do not count: who rejects requests because of them reads no others.
    """
    if state.mean_load is None:
        oldest_us = state.now_us - LOAD_REPORT_TTL_US
        loads = [
            ASSUMED_LOAD
            if server.load is None or server.load_read_at_us <= oldest_us
            else min(server.load, 1.0)
            for server in state.ready
            if server.load is None or server.load < UNREACHABLE_LOAD
        ]
        state.mean_load = sum(loads) / len(loads) if loads else ASSUMED_LOAD
    return state.mean_load


def load_of(state: BalancerState, server: Server) -> float:
    """The load as last read; what a report does not tell is unknown, neither idle nor full."""
    return mean_load(state) if server.load is None else server.load
