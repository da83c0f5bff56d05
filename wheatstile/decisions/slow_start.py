"""Slow start: what a server that has just started may be sent by this balancer."""

from wheatstile import interface as api
from wheatstile.decisions.load import LEAST_MEAN_LOAD, OVERLOAD_THRESHOLD, mean_load
from wheatstile.decisions.state import BalancerState, Server

SECOND_US = 1_000_000


def begin(state: BalancerState, server: Server, endpoint: api.Endpoint) -> None:
    """A new process: what was sent before says nothing of it, what it was sent since its start is owed."""
    was_sent_since_start = server.last_attempt_at_us >= endpoint.started_at_us
    server.slow_start_tokens = state.random.random() - was_sent_since_start
    server.slow_start_tokens_at_us = state.now_us
    server.load = None
    window_us = state.settings.slow_start_overload_window_us
    server.slow_start_chance_until_us = server.last_attempt_at_us + window_us if was_sent_since_start else 0


def has_budget(state: BalancerState, server: Server, is_retry: bool) -> bool:
    """Rule 4: whether one more attempt is within this balancer's part of the server's budget.

    The connections here over the servers make the mean load; so all parts, in waves too, fill one server to
    the threshold. A retry needs twice its part. Less than one request is a chance, drawn once in a window.
    """
    settings = state.settings
    age_us = state.now_us - server.endpoint.started_at_us
    if server.endpoint.started_at_us <= 0 or age_us >= settings.slow_start_duration_us:
        return True
    capacity = max(settings.slow_start_initial_capacity, age_us / settings.slow_start_duration_us)
    share = OVERLOAD_THRESHOLD * len(state.connections) / len(state.ready)
    share = share / max(mean_load(state), LEAST_MEAN_LOAD) * capacity
    window_us = settings.slow_start_overload_window_us
    rate = share * settings.slow_start_overload_factor / max(SECOND_US, window_us)
    part = window_us * rate
    gained = (state.now_us - server.slow_start_tokens_at_us) * rate
    server.slow_start_tokens = min(part, server.slow_start_tokens + gained)
    server.slow_start_tokens_at_us = state.now_us
    if part >= 1:
        return server.slow_start_tokens >= 1 + is_retry
    if state.now_us >= server.slow_start_chance_until_us:
        server.slow_start_chance = state.random.random()
        server.slow_start_chance_until_us = state.now_us + window_us
    return server.slow_start_chance * (1 + is_retry) < part
