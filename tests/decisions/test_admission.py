"""How fast repeated setups go, and who is rejected early."""

from support.balancer_harness import SECOND_US, BalancerHarness, of_type

from wheatstile import interface as api
from wheatstile.decisions.admission import INITIAL_RATE
from wheatstile.decisions.fleet_load import LOAD_REPORT_TTL_US
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD

FINAL = (api.Reject, api.Fail)


def finals(harness: BalancerHarness, id: str) -> int:
    return sum(1 for action in harness.log if isinstance(action, FINAL) and action.id == id)


def test_full_fleet_rejects_part_of_its_requests_without_a_check() -> None:
    """On overloaded days the probes of requests that could only be refused cost more than they told."""
    harness = BalancerHarness("a", "b", loads={"a": 1.0, "b": 1.0})
    harness.request("first")
    assert of_type(harness.log, api.Reject)  # given up on, and told at once
    mark = len(harness.log)
    for index in range(40):
        harness.dispatch(api.Request(f"r{index}", "web", 2 * SECOND_US))
    assert 20 < len(of_type(harness.log[mark:], api.Reject)) < 40


def test_balancer_that_found_the_fleet_full_checks_again_soon() -> None:
    """Most were refused unread, and the mean moved by the others only: servers at 0.2 were left for 15 s."""
    harness = BalancerHarness("a", "b", loads={"a": 1.0, "b": 1.0})
    harness.request("first")
    harness.loads = {"a": 0.2, "b": 0.2}
    harness.run(LOAD_REPORT_TTL_US)
    for index in range(20):
        harness.request(f"r{index}")
    assert len(of_type(harness.log, api.Reject)) == 1
    assert len(of_type(harness.log, api.StartAttempt)) == 20


def test_midflow_requests_are_limited_while_setups_fail() -> None:
    """Restarting balancers handed on a thousand connections a second, and most misses were set up anew."""
    for pace, sent in ((INITIAL_RATE, 40), (1.0, 1)):
        harness = BalancerHarness(*"abcd")
        harness.balancer.setup_limiter.bucket.rate = pace
        for index in range(40):
            harness.request(f"r{index}", key=f"k{index}", midflow=True)
        assert len(of_type(harness.log, api.StartAttempt)) == sent


def test_repeated_setups_are_limited_once_they_fail() -> None:
    """Clients that all came again kept the store behind the servers saturated for ever."""
    harness = BalancerHarness("a", "b", "c")
    for index in range(40):
        harness.request(f"r{index}", reconnecting=True)
    assert len(of_type(harness.log, api.StartAttempt)) < 10
    harness.run(3 * SECOND_US)
    sent = {send.id for send in of_type(harness.log, api.StartAttempt)}
    assert all(finals(harness, f"r{index}") or f"r{index}" in sent for index in range(40))


def test_pace_recovers_by_the_connections_held() -> None:
    """Each of two hundred balancers saw a failure now and then, and had its pace back before the next."""
    grown = []
    for number in (4, 100):
        harness = BalancerHarness("a", "b", fleet_size=200)
        for index in range(number):
            harness.connect(f"c{index}", "a")
        limiter = harness.balancer.setup_limiter
        limiter.bucket.rate = 1.0
        limiter.bucket.updated_at_us = harness.now
        harness.balancer.context.begin(harness.now + SECOND_US)
        limiter.try_acquire()
        grown.append(limiter.bucket.rate - 1.0)
    assert grown[0] < 4
    assert 50 < grown[1] < 70


def test_full_fleet_rejects_with_a_retry_after() -> None:
    """Newcomers placed on full servers made every message there late."""
    harness = BalancerHarness("a", "b", loads={"a": OVERLOAD_THRESHOLD + 0.1, "b": OVERLOAD_THRESHOLD + 0.2})
    harness.request("r")
    harness.run(2 * SECOND_US)
    refusal = of_type(harness.log, api.Reject)[0]
    assert 0 < refusal.retry_after_us <= 1_500_000
    assert not of_type(harness.log, api.StartAttempt)


def test_reconnect_wave_is_set_up_while_servers_have_room() -> None:
    """After a balancer's restart its clients were held at a store's pace until their time was out."""
    harness = BalancerHarness("a", "b", "c")
    for index in range(40):
        harness.dispatch(api.Request(f"r{index}", "web", 2 * SECOND_US, f"k{index}", reconnecting=True))
        harness.answer_checks()
    harness.run(SECOND_US)
    assert len({send.id for send in of_type(harness.log, api.StartAttempt)}) == 40
