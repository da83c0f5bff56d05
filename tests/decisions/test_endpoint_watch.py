"""Tests of the requests for the endpoint list, and of the servers that it allows (rule 3)."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, endpoints, of_type

from wheatstile import interface as api

WATCH_TIMER = api.TimerToken(api.TimerKind.WATCH_ENDPOINTS)


def watch_delays_us(actions: list[api.Action]) -> list[int]:
    """Return the delays of the timers that request the endpoint list."""
    return [timer.delay_us for timer in of_type(actions, api.SetTimer) if timer.token == WATCH_TIMER]


def fail_discovery_call(harness: BalancerHarness) -> list[int]:
    """Report a failed call to discovery. Return the delays until the next call."""
    return watch_delays_us(harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FAILED)))


@pytest.mark.parametrize("poll_interval_us", [2 * SECOND_US, 5 * SECOND_US, 20 * SECOND_US])
def test_list_is_polled_within_the_interval(poll_interval_us: int) -> None:
    delays: list[int] = []
    for seed in range(40):
        harness = BalancerHarness("a", poll_endpoints=True, poll_interval_us=poll_interval_us, seed=seed)
        delays += watch_delays_us(harness.actions)
    assert len(delays) == 40
    assert max(delays) < poll_interval_us


@pytest.mark.parametrize("poll_interval_us", [2 * SECOND_US, 5 * SECOND_US, 20 * SECOND_US])
def test_backoff_is_bounded_by_four_poll_intervals(poll_interval_us: int) -> None:
    harness = BalancerHarness("a", poll_endpoints=True, poll_interval_us=poll_interval_us)
    for _ in range(9):
        delays = fail_discovery_call(harness)
    assert delays
    assert all(delay < 4 * poll_interval_us for delay in delays)


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.GONE])
def test_draining_or_gone_server_gets_no_new_requests(state: api.EndpointState) -> None:
    harness = BalancerHarness("a", "b")
    harness.update_endpoints(api.Endpoint("b", state, "here"))
    for index in range(50):
        harness.request(f"r{index}")
    assert set(harness.attempted_servers) == {"a"}


def test_server_removed_during_its_health_check_is_not_chosen() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.6, "b": 0.1})
    harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
    # A server that is absent from a full list is gone.
    harness.update_endpoints(*endpoints("a"), kind=api.EndpointUpdateKind.FULL)
    harness.answer_checks()
    assert harness.attempted_servers == ["a"]


def test_failed_discovery_call_is_repeated_with_a_doubling_delay() -> None:
    harness = BalancerHarness("a", poll_endpoints=True)
    assert any(timer.token == WATCH_TIMER for timer in harness.timers)
    delays = [delay for _ in range(6) for delay in fail_discovery_call(harness)]
    assert len(delays) == 6
    assert delays[0] <= 2 * SECOND_US
    assert 4 * SECOND_US <= min(delays[4:]) < 12 * SECOND_US


def test_update_resets_the_backoff() -> None:
    harness = BalancerHarness("a", poll_endpoints=True)
    for _ in range(6):
        fail_discovery_call(harness)
    harness.update_endpoints()
    assert fail_discovery_call(harness)[0] <= 2 * SECOND_US


def test_failed_discovery_call_keeps_the_endpoint_list() -> None:
    harness = BalancerHarness("a", poll_endpoints=True)
    fail_discovery_call(harness)
    assert of_type(harness.dispatch(api.TimerFired(WATCH_TIMER)), api.WatchEndpoints)
    harness.request("r")
    assert harness.attempts
