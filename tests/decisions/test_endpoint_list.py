"""The list of servers: drains, back-off, polling (rule 3)."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, entries, of_type

from wheatstile import interface as api

WATCH = api.TimerToken(api.TimerKind.WATCH_ENDPOINTS)


def test_list_is_asked_for_within_the_poll_interval() -> None:
    for poll_interval_us in (2 * SECOND_US, 5 * SECOND_US, 20 * SECOND_US):
        delays = []
        for seed in range(40):
            harness = BalancerHarness("a", poll_endpoints=True, poll_interval_us=poll_interval_us, seed=seed)
            delays += [due - harness.now for due, _, token in harness.timers if token == WATCH]
        assert len(delays) == 40
        assert max(delays) < poll_interval_us
        for _ in range(9):  # after a failed call it is four times as long
            timers = of_type(
                harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FAILED)), api.SetTimer
            )
        assert all(timer.delay_us < 4 * poll_interval_us for timer in timers)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_nothing_new_goes_to_a_server_that_drains_or_is_gone(state: str) -> None:
    harness = BalancerHarness("a", "b")
    harness.dispatch(
        api.EndpointUpdate(
            api.EndpointUpdateKind.DELTA, [api.Endpoint("b", api.EndpointState(state), "here")]
        )
    )
    for index in range(50):
        harness.request(f"r{index}")
    assert {send.server for send in of_type(harness.log, api.StartAttempt)} == {"a"}


def test_drain_during_the_health_checks_counts() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.6, "b": 0.1})
    harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
    harness.dispatch(
        api.EndpointUpdate(api.EndpointUpdateKind.FULL, entries("a"))
    )  # absent from a full list: gone
    harness.answer_checks()
    assert [send.server for send in of_type(harness.log, api.StartAttempt)] == ["a"]


def test_failed_call_keeps_the_list_and_backs_off() -> None:
    harness = BalancerHarness("a", poll_endpoints=True)
    assert any(token == WATCH for _, _, token in harness.timers)
    delays = []
    for _ in range(6):
        answers = harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
        delays += [timer.delay_us for timer in of_type(answers, api.SetTimer) if timer.token == WATCH]
    assert len(delays) == 6
    assert delays[0] <= 2 * SECOND_US
    assert 4 * SECOND_US <= min(delays[4:]) < 12 * SECOND_US
    harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA))
    again = of_type(harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FAILED)), api.SetTimer)
    assert again[0].delay_us <= 2 * SECOND_US
    assert of_type(harness.dispatch(api.TimerFired(WATCH)), api.WatchEndpoints)
    harness.request("r")
    assert of_type(harness.log, api.StartAttempt)
