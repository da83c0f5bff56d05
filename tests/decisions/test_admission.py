"""Tests of the rate limit of repeated setups, and of early rejection."""

from support.balancer_harness import SECOND_US, BalancerHarness, of_type

from wheatstile import interface as api
from wheatstile.decisions.admission import INITIAL_RATE
from wheatstile.decisions.fleet_load import LOAD_REPORT_TTL_US
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD


def test_overloaded_fleet_rejects_most_requests_without_a_health_check() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 1.0, "b": 1.0})
    harness.request("first")
    assert of_type(harness.actions, api.Reject)
    previous_count = len(harness.actions)
    for index in range(40):
        harness.dispatch(api.Request(f"r{index}", "web", 2 * SECOND_US))
    assert 20 < len(of_type(harness.actions[previous_count:], api.Reject)) < 40


def test_servers_are_checked_again_once_the_reports_of_an_overloaded_fleet_expire() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 1.0, "b": 1.0})
    harness.request("first")
    harness.loads = {"a": 0.2, "b": 0.2}
    harness.run(LOAD_REPORT_TTL_US)
    for index in range(20):
        harness.request(f"r{index}")
    assert len(of_type(harness.actions, api.Reject)) == 1
    assert len(harness.attempts) == 20


def test_mid_flow_requests_are_limited_while_setups_fail() -> None:
    for rate, attempts in ((INITIAL_RATE, 40), (1.0, 1)):
        harness = BalancerHarness(*"abcd")
        harness.balancer.setup_limiter.bucket.rate = rate
        for index in range(40):
            harness.request(f"r{index}", key=f"k{index}", midflow=True)
        assert len(harness.attempts) == attempts


def test_repeated_setups_are_spread_over_time() -> None:
    harness = BalancerHarness("a", "b", "c")
    for index in range(40):
        harness.request(f"r{index}", reconnecting=True)
    assert len(harness.attempts) < 10
    harness.run(3 * SECOND_US)
    attempted = {attempt.id for attempt in harness.attempts}
    assert all(harness.final_answers(f"r{index}") or f"r{index}" in attempted for index in range(40))


def test_setup_rate_recovers_in_proportion_to_the_connections() -> None:
    """With 200 balancers each sees few failures, and must not restore its full rate between two of them."""
    recovered = []
    for number in (4, 100):
        harness = BalancerHarness("a", "b", fleet_size=200)
        harness.connect_many(number, "a")
        limiter = harness.balancer.setup_limiter
        limiter.bucket.rate = 1.0
        limiter.bucket.start(harness.now_us)
        harness.balancer.context.begin_event(harness.now_us + SECOND_US)
        limiter.try_acquire()
        recovered.append(limiter.bucket.rate - 1.0)
    assert recovered[0] < 4
    assert 50 < recovered[1] < 70


def test_overloaded_fleet_rejects_with_a_retry_after() -> None:
    harness = BalancerHarness("a", "b", loads={"a": OVERLOAD_THRESHOLD + 0.1, "b": OVERLOAD_THRESHOLD + 0.2})
    harness.request("r")
    harness.run(2 * SECOND_US)
    rejection = of_type(harness.actions, api.Reject)[0]
    assert 0 < rejection.retry_after_us <= 1_500_000
    assert not harness.attempts


def test_reconnect_burst_is_admitted_while_servers_have_capacity() -> None:
    harness = BalancerHarness("a", "b", "c")
    for index in range(40):
        harness.request(f"r{index}", key=f"k{index}", reconnecting=True)
    harness.run(SECOND_US)
    assert len({attempt.id for attempt in harness.attempts}) == 40
