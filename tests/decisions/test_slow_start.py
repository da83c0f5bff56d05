"""What a server in slow start may be sent (rule 4)."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, entries, of_type

from wheatstile import interface as api


def test_retry_needs_twice_the_budget() -> None:
    """In a storm most of what reached cold servers were repeats, one from each of many balancers."""
    harness = BalancerHarness("a", slow_start_overload_factor=20.0)
    harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FULL, entries("a", started_at_us=harness.now)))
    for number in range(20):
        harness.connect(f"c{number}", "a")
    server = harness.balancer.endpoints.servers["a"]
    connection = next(iter(harness.balancer.connections.established))
    for attempts, tokens, may in ((0, 0.9, False), (0, 1.0, True), (1, 1.9, False), (1, 2.0, True)):
        connection.attempts = attempts
        server.slow_start.tokens = tokens
        server.slow_start.updated_at_us = harness.now
        assert harness.balancer.selector.is_eligible(server, connection) is may


def test_two_hundred_balancers_do_not_save_up_one_request_each() -> None:
    """A server fell over that got one request from each of thirty balancers within 1.5 s."""
    met = 0
    for seed in range(200):
        harness = BalancerHarness(*"abcdefgh", fleet_size=200, seed=seed)
        cold = entries("cold", started_at_us=harness.now)
        harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, cold))
        for index in range(3):
            harness.connect(f"c{index}", "a")
        server = harness.balancer.endpoints.servers["cold"]
        connection = next(iter(harness.balancer.connections.established))
        connection.attempts = 0
        selector = harness.balancer.selector
        now_us = harness.now + 4 * SECOND_US  # with nobody to send
        harness.balancer.context.begin(now_us)
        if any(selector.is_eligible(server, connection) for _ in range(10)):  # asked again it says the same
            met += 1
            server.slow_start.charge(now_us)
            assert not selector.is_eligible(server, connection)  # what is sent is owed
    # 3 connections on 9 servers at a load of 0.5: a warm one holds 0.47 at 0.7, a cold one a fifth;
    # three times so much may be sent to it, 56 by all of them.
    assert 40 < met < 72


@pytest.mark.parametrize(("sent_since_start", "fits"), [(False, range(10, 30)), (True, range(1))])
def test_attempts_before_the_start_was_known_are_owed(sent_since_start: bool, fits: range) -> None:
    """A server that had fallen answered again seconds before the list told of its start."""
    count = 0
    for seed in range(30):
        harness = BalancerHarness("a", "b", seed=seed, slow_start_overload_factor=1.0)
        for index in range(4):
            harness.connect(f"c{index}", "a")
        server = harness.balancer.endpoints.servers["b"]
        connection = next(iter(harness.balancer.connections.established))
        server.slow_start.charge(harness.now)
        started = harness.now + (-1 if sent_since_start else 1)
        harness.dispatch(
            api.EndpointUpdate(api.EndpointUpdateKind.DELTA, entries("b", started_at_us=started))
        )
        connection.attempts = 0
        count += harness.balancer.selector.is_eligible(server, connection)
    assert count in fits


def test_budget_is_for_the_window_of_the_settings() -> None:
    grown = []
    for window in (SECOND_US, 2 * SECOND_US, 4 * SECOND_US):
        harness = BalancerHarness("a", "b", slow_start_overload_window_us=window)
        harness.dispatch(
            api.EndpointUpdate(
                api.EndpointUpdateKind.FULL, entries("a") + entries("b", started_at_us=harness.now)
            )
        )
        for number in range(100):
            harness.connect(f"c{number}", "a")
        server = harness.balancer.endpoints.servers["b"]
        server.slow_start.tokens = 0.0
        server.slow_start.updated_at_us = harness.now
        harness.balancer.context.begin(harness.now + SECOND_US // 10)
        harness.balancer.slow_start.permits(server, is_retry=False)
        grown.append(server.slow_start.tokens)
    assert grown[0] > 0
    assert grown[1:] == pytest.approx([grown[0] / 2, grown[0] / 4])


def test_server_in_slow_start_gets_a_small_part() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.5, "b": 0.0})
    for index in range(20):
        harness.connect(f"w{index}", "ab"[index % 2])
    cold = entries("a") + entries("b", started_at_us=harness.now)
    harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FULL, cold))
    for index in range(20):
        harness.request(f"r{index}")
        harness.run(50_000)
    # 20 connections here fill two servers to 0.5 or less: 20 fill one, and 40 with those that now come. At
    # a fifth of the capacity, a set-up weighing as a connection's second, 3 times that is 12 to 24 a second.
    assert 5 <= [send.server for send in of_type(harness.log, api.StartAttempt)].count("b") < 20
    harness.run(20 * SECOND_US)
    mark = len(of_type(harness.log, api.StartAttempt))
    for index in range(20):
        harness.request(f"x{index}")
    assert [send.server for send in of_type(harness.log, api.StartAttempt)[mark:]].count("b") == 20


def test_restarted_server_begins_a_new_budget() -> None:
    """Sends while it was warm had left a debt that no cold start could pay back."""
    harness = BalancerHarness("a", "b", loads={"a": 0.5, "b": 0.0})
    for index in range(300):
        harness.request(f"w{index}")
        harness.run(50_000)
    harness.dispatch(
        api.EndpointUpdate(api.EndpointUpdateKind.DELTA, entries("b", started_at_us=harness.now))
    )
    mark = len(of_type(harness.log, api.StartAttempt))
    for index in range(60):
        harness.request(f"r{index}")
        harness.run(50_000)
    assert "b" in {send.server for send in of_type(harness.log, api.StartAttempt)[mark:]}
