"""What a server in slow start may be sent (rule 4)."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, entries, of_type

from wheatstile import interface as api
from wheatstile.decisions import slow_start
from wheatstile.decisions.selection import is_eligible


def test_retry_needs_twice_the_budget() -> None:
    """In a storm most of what reached cold servers were repeats, one from each of many balancers."""
    harness = BalancerHarness("a", slow_start_overload_factor=20.0)
    harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FULL, entries("a", started_at_us=harness.now)))
    for number in range(20):
        harness.connect(f"c{number}", "a")
    server, connection = harness.balancer.servers["a"], next(iter(harness.balancer.state.established))
    for attempts, tokens, may in ((0, 0.9, False), (0, 1.0, True), (1, 1.9, False), (1, 2.0, True)):
        connection.attempts, server.slow_start_tokens, server.slow_start_tokens_at_us = (
            attempts,
            tokens,
            harness.balancer.state.now_us,
        )
        assert is_eligible(harness.balancer.state, server, connection) is may


def test_two_hundred_balancers_do_not_save_up_one_request_each() -> None:
    """A server fell over that got one request from each of thirty balancers within 1.5 s."""
    met = 0
    for seed in range(200):
        harness = BalancerHarness(*"abcdefgh", fleet_size=200, seed=seed)
        cold = entries("cold", started_at_us=harness.now)
        harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, cold))
        for index in range(3):
            harness.connect(f"c{index}", "a")
        server, connection = harness.balancer.servers["cold"], next(iter(harness.balancer.state.established))
        connection.attempts, connection.deadline_us = 0, harness.balancer.state.now_us + 10 * SECOND_US
        harness.balancer.state.now_us += 4 * SECOND_US  # with nobody to send
        if any(
            is_eligible(harness.balancer.state, server, connection) for _ in range(10)
        ):  # asked again it says the same
            met += 1
            harness.balancer.state.begin_attempt(connection, server)
            assert not is_eligible(harness.balancer.state, server, connection)  # what is sent is owed
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
        server, connection = harness.balancer.servers["b"], next(iter(harness.balancer.state.established))
        connection.deadline_us = harness.now + 10 * SECOND_US
        harness.balancer.state.begin_attempt(connection, server)
        started = harness.balancer.state.now_us + (-1 if sent_since_start else 1)
        harness.dispatch(
            api.EndpointUpdate(api.EndpointUpdateKind.DELTA, entries("b", started_at_us=started))
        )
        connection.attempts = 0
        count += is_eligible(harness.balancer.state, server, connection)
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
        server = harness.balancer.servers["b"]
        server.slow_start_tokens, server.slow_start_tokens_at_us = 0.0, harness.balancer.state.now_us
        harness.balancer.state.now_us += SECOND_US // 10
        slow_start.has_budget(harness.balancer.state, server, False)
        grown.append(server.slow_start_tokens)
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
