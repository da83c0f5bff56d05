"""When to ask discovery for the list of servers again, and what a restarted server begins with."""

from wheatstile import interface as api
from wheatstile.decisions import slow_start
from wheatstile.decisions.state import BalancerState

INITIAL_BACKOFF_US = 1_000_000
MAX_BACKOFF_US = 8_000_000
START_SPREAD_US = 4_000_000  # of the first calls of all balancers


def start(state: BalancerState) -> None:
    """Ask for the list, if it has to be asked for."""
    state.discovery_backoff_us = INITIAL_BACKOFF_US
    if state.settings.poll_endpoints:
        spread_us = min(START_SPREAD_US, state.settings.poll_interval_us * 3 // 4)
        state.set_jittered_timer(spread_us, api.TimerKind.WATCH_ENDPOINTS)


def on_failure(state: BalancerState) -> None:
    """A call to discovery has failed."""
    jittered_us = int(state.discovery_backoff_us * (0.5 + state.random.random()))
    longest_us = min(MAX_BACKOFF_US, 2 * state.settings.poll_interval_us)
    state.discovery_backoff_us = min(2 * state.discovery_backoff_us, longest_us)
    state.set_timer(jittered_us, api.TimerKind.WATCH_ENDPOINTS)


def on_update(state: BalancerState, event: api.EndpointUpdate) -> None:
    """The list, its changes, or discovery's new place: what failed elsewhere says nothing of that."""
    state.discovery_backoff_us = INITIAL_BACKOFF_US
    if event.kind == api.EndpointUpdateKind.MOVED:
        state.actions.append(api.WatchEndpoints())
        return
    for server, endpoint, is_new_process in state.follow(event):
        if is_new_process:
            slow_start.begin(state, server, endpoint)
