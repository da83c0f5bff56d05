"""Tests of the number of attempts at a server in slow start (rule 4)."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, endpoints

from wheatstile import interface as api


def harness_in_slow_start(**changes: object) -> BalancerHarness:
    """Return a balancer with the server "a" and the server "b", which has just started."""
    harness = BalancerHarness("a", "b", loads={"a": 0.5, "b": 0.0}, **changes)  # type: ignore[arg-type]
    starting = endpoints("b", started_at_us=harness.now_us)
    harness.update_endpoints(*endpoints("a"), *starting, kind=api.EndpointUpdateKind.FULL)
    return harness


def test_retry_needs_twice_the_budget() -> None:
    harness = harness_in_slow_start(slow_start_overload_factor=20.0)
    harness.connect_many(20, "a")
    server = harness.server("b")
    connection = next(iter(harness.balancer.connections.established))
    for attempts, tokens, is_eligible in ((0, 0.9, False), (0, 1.0, True), (1, 1.9, False), (1, 2.0, True)):
        connection.attempts = attempts
        server.slow_start.tokens = tokens
        server.slow_start.updated_at_us = harness.now_us
        assert harness.balancer.selector.is_eligible(server, connection) is is_eligible


def test_two_hundred_balancers_share_one_budget() -> None:
    """If the share of each balancer is less than one attempt, only some balancers send one."""
    permitted = 0
    for seed in range(200):
        harness = BalancerHarness(*"abcdefgh", fleet_size=200, seed=seed)
        harness.update_endpoints(*endpoints("starting", started_at_us=harness.now_us))
        harness.connect_many(3, "a")
        server = harness.server("starting")
        selector = harness.balancer.selector
        now_us = harness.now_us + 4 * SECOND_US
        harness.balancer.context.begin_event(now_us)
        if any(selector.is_eligible(server, None) for _ in range(10)):
            permitted += 1
            server.slow_start.charge(now_us)
            assert not selector.is_eligible(server, None)
    # Three connections on nine servers at a load of 0.5 correspond to 0.47 on one server at 0.7. A starting
    # server can serve a fifth of that, and three times this is permitted: 56 attempts of the 200 balancers.
    assert 40 < permitted < 72


@pytest.mark.parametrize(("is_after_start", "permitted"), [(False, range(10, 30)), (True, range(1))])
def test_attempts_before_the_start_was_reported_are_charged(is_after_start: bool, permitted: range) -> None:
    """A restarted server may answer seconds before discovery reports its restart."""
    count = 0
    for seed in range(30):
        harness = BalancerHarness("a", "b", seed=seed, slow_start_overload_factor=1.0)
        harness.connect_many(4, "a")
        server = harness.server("b")
        server.slow_start.charge(harness.now_us)
        started_at_us = harness.now_us - 1 if is_after_start else harness.now_us + 1
        harness.update_endpoints(*endpoints("b", started_at_us=started_at_us))
        count += harness.balancer.selector.is_eligible(server, None)
    assert count in permitted


def test_refill_rate_is_inversely_proportional_to_the_overload_window() -> None:
    refills = []
    for window_us in (SECOND_US, 2 * SECOND_US, 4 * SECOND_US):
        harness = harness_in_slow_start(slow_start_overload_window_us=window_us)
        harness.connect_many(100, "a")
        server = harness.server("b")
        server.slow_start.tokens = 0.0
        server.slow_start.updated_at_us = harness.now_us
        harness.balancer.context.begin_event(harness.now_us + SECOND_US // 10)
        harness.balancer.slow_start.permits(server, is_retry=False)
        refills.append(server.slow_start.tokens)
    assert refills[0] > 0
    assert refills[1:] == pytest.approx([refills[0] / 2, refills[0] / 4])


def test_server_in_slow_start_gets_a_small_share() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.5, "b": 0.0})
    for index in range(20):
        harness.connect(f"w{index}", "ab"[index % 2])
    starting = endpoints("b", started_at_us=harness.now_us)
    harness.update_endpoints(*endpoints("a"), *starting, kind=api.EndpointUpdateKind.FULL)
    for index in range(20):
        harness.request(f"r{index}")
        harness.run(50_000)
    # The 20 connections load two servers to 0.5 or less, so 20 (40 with the new ones) load one server fully.
    # At a fifth of its capacity, three times that is 12 to 24 attempts per second.
    assert 5 <= harness.attempted_servers.count("b") < 20
    harness.run(20 * SECOND_US)
    previous_count = len(harness.attempts)
    for index in range(20):
        harness.request(f"x{index}")
    assert harness.attempted_servers[previous_count:].count("b") == 20


def test_restarted_server_begins_a_new_budget() -> None:
    """Attempts at the previous process are not charged to the new budget."""
    harness = BalancerHarness("a", "b", loads={"a": 0.5, "b": 0.0})
    for index in range(300):
        harness.request(f"w{index}")
        harness.run(50_000)
    harness.update_endpoints(*endpoints("b", started_at_us=harness.now_us))
    previous_count = len(harness.attempts)
    for index in range(60):
        harness.request(f"r{index}")
        harness.run(50_000)
    assert "b" in harness.attempted_servers[previous_count:]
