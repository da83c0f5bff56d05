"""Outlier ejection, and what a health check says of a server."""

from wheatstile import interface as api
from wheatstile.decisions.load import UNREACHABLE_LOAD, load_in
from wheatstile.decisions.state import BalancerState, Server

BASE_EJECTION_US = 1_000_000  # doubles with each consecutive failure
MAX_EJECTION_US = 8_000_000
MAX_EJECTION_DOUBLINGS = 4


def eject(state: BalancerState, server: Server) -> None:
    """Leave a server that failed alone for a while, longer each time it fails again."""
    doublings = min(server.consecutive_failures, MAX_EJECTION_DOUBLINGS)
    server.ejected_until_us = state.now_us + min(BASE_EJECTION_US << doublings, MAX_EJECTION_US)
    server.consecutive_failures += 1


def on_result(state: BalancerState, server: Server, event: api.HealthCheckResult) -> None:
    """Take what a health check has found."""
    if event.outcome.is_ok:
        server.record_load(load_in(event.report or {}), state.now_us)
    elif event.outcome != api.AttemptOutcome.NOT_SENT:
        # Many balancers that ask at once fill a healthy server: only the second time in a row counts.
        was_read = server.load is not None and server.load != UNREACHABLE_LOAD
        is_first = event.outcome == api.AttemptOutcome.OVERLOADED and was_read and not server.least_load
        # One that answers with an error stands and serves whom it holds: nobody is migrated for it.
        is_serving = is_first or event.outcome == api.AttemptOutcome.ERROR
        server.load = None if is_serving else UNREACHABLE_LOAD
        eject(state, server)
