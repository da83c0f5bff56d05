"""Tests of a request from its arrival to its one final answer."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, of_type, settings

from wheatstile import interface as api
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD

NON_IDEMPOTENT = {"web": api.ServiceClass("web", 500_000, api.Idempotency.NON_IDEMPOTENT)}


def test_request_without_answers_is_rejected_before_its_deadline() -> None:
    harness = BalancerHarness("a", "b")
    harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
    requested_at_us = harness.now_us
    while not harness.final_answers("r"):
        harness.run_to_next_timer()
        harness.pending_checks.clear()
        assert harness.now_us <= requested_at_us + 2 * SECOND_US
    assert len(harness.final_answers("r")) == 1
    assert not harness.attempts


@pytest.mark.parametrize(
    ("classes", "answer"), [(settings().classes, api.Reject), (NON_IDEMPOTENT, api.Fail)]
)
def test_shutdown_answers_waiting_and_new_requests(
    classes: dict[str, api.ServiceClass], answer: type[api.Action]
) -> None:
    harness = BalancerHarness("a", "b", classes=classes)
    harness.request("attempted")
    harness.dispatch(api.Request("waiting", "web", 2 * SECOND_US))
    harness.connect("established", "a")
    actions = harness.dispatch(api.ShutdownStarted())
    # The attempt in flight may have run, so its client may retry only if a repeat is harmless.
    assert [type(action) for action in actions] == [answer, api.Reject]
    late = harness.dispatch(api.Request("late", "web", 2 * SECOND_US))
    assert [type(action) for action in late] == [api.Reject]


def test_shutdown_rejects_a_migrated_client_that_reconnects() -> None:
    harness = BalancerHarness("a", "b", "c")
    for index in range(200):
        harness.connect(f"c{index}", "a", key=f"c{index}")
    moved: list[str] = []
    for _ in range(200):
        harness.run(SECOND_US)
        moves = harness.balancer.exploration.pending_moves
        moved = [key for key, move in moves.items() if move.expires_at_us > harness.now_us + SECOND_US]
        if moved:
            break
    assert moved
    harness.dispatch(api.ShutdownStarted())
    for key in moved:
        request = api.Request(f"moved-{key}", "web", 2 * SECOND_US, key=key, reconnecting=True)
        assert [type(action) for action in harness.dispatch(request)] == [api.Reject]


def test_request_with_an_empty_endpoint_list_gets_one_rejection() -> None:
    harness = BalancerHarness()
    harness.request("r")
    harness.run(3 * SECOND_US)
    assert len(harness.final_answers("r")) == 1


def test_duplicate_request_is_ignored() -> None:
    harness = BalancerHarness("a", "b")
    harness.request("r")
    assert harness.request("r") == []


def test_request_with_overloaded_candidates_draws_others_while_the_fleet_has_capacity() -> None:
    loads = dict.fromkeys("abcd", OVERLOAD_THRESHOLD + 0.1) | dict.fromkeys("ef", 0.1)
    harness = BalancerHarness(*"abcdef", loads=loads)
    for index in range(60):
        harness.request(f"r{index}", key=f"k{index}")
    harness.run(2 * SECOND_US)
    assert len(harness.attempts) == 60


def test_slow_check_is_awaited_no_longer_than_the_candidate_timeout() -> None:
    harness = BalancerHarness("a", "b")
    harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
    harness.pending_checks.clear()
    harness.answer_check("a", load=0.3)
    assert not harness.attempts
    [timer] = [timer for timer in harness.timers if timer.token.kind is api.TimerKind.CANDIDATE_TIMEOUT]
    harness.now_us = timer.due_us
    harness.fire(timer)
    assert harness.attempted_servers[-1] == "a"


def test_requests_are_placed_if_health_checks_are_disabled() -> None:
    harness = BalancerHarness("a", "b", health_checks_enabled=False, load_metrics=())
    harness.request("r")
    assert harness.attempts
    assert not of_type(harness.actions, api.CheckHealth)


@pytest.mark.parametrize(
    "event",
    [
        api.Established("x", 0, "a", 1),
        api.AttemptEnded("x", 0, "nowhere", api.AttemptOutcome.OK),
        api.ClientDisconnected("x"),
        api.HealthCheckResult("nowhere", api.AttemptOutcome.OK),
        api.TimerFired(api.TimerToken(api.TimerKind.CANDIDATE_TIMEOUT, "x", 1)),
        api.TimerFired(api.TimerToken(api.TimerKind.REBALANCE, "x")),
        api.MessageLatencyChanged("x", "a", 99.0),
        api.ExistingConnection("x", "web", "nowhere"),
    ],
    ids=lambda event: type(event).__name__,
)
def test_events_of_unknown_connections_are_ignored(event: api.Event) -> None:
    assert BalancerHarness("a").dispatch(event) == []


def test_waiting_request_checks_servers_at_increasing_intervals() -> None:
    names = [f"s{number}" for number in range(40)]  # too many for one request to check all
    harness = BalancerHarness(*names, loads=dict.fromkeys(names, OVERLOAD_THRESHOLD + 0.1))
    harness.request("r:1", expires_in_us=4 * SECOND_US)
    harness.run(4 * SECOND_US)
    assert 6 <= len(of_type(harness.actions, api.CheckHealth)) <= 14
    assert of_type(harness.actions, api.Reject)


def test_timer_that_fires_early_does_not_stop_a_request() -> None:
    """A host may round a delay down, so that a timer fires before its due time."""
    harness = BalancerHarness()
    harness.request("r", expires_in_us=SECOND_US)
    requested_at_us = harness.now_us
    for _ in range(1000):
        timer = min(harness.timers)
        harness.now_us = max(harness.now_us + 1, timer.due_us - 300)
        harness.fire(timer)
        if of_type(harness.actions, api.Reject):
            break
    assert of_type(harness.actions, api.Reject)
    assert harness.now_us < requested_at_us + SECOND_US
