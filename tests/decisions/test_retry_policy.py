"""Tests of the retry policy: its limit, its servers and its timeouts (rules 1 and 2)."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, endpoints, of_type

from wheatstile import interface as api


def classes_of(idempotency: api.Idempotency, window_us: int = 5 * SECOND_US) -> dict[str, api.ServiceClass]:
    """Return one class, whose servers discard repeats within one zone and this window."""
    zone = api.DeduplicationScope.ZONE
    return {"web": api.ServiceClass("web", 500_000, idempotency, zone, window_us)}


KEYED = classes_of(api.Idempotency.IDEMPOTENCY_KEY)
NON_IDEMPOTENT = classes_of(api.Idempotency.NON_IDEMPOTENT)


def fail_first_attempt(harness: BalancerHarness, outcome: api.AttemptOutcome) -> list[api.Action]:
    """End the first attempt of a request "r" with this outcome. Return the actions of the next second."""
    harness.request("r", 10 * SECOND_US)
    previous_count = len(harness.actions)
    harness.end_attempt("r", outcome)
    harness.answer_checks()
    harness.run(SECOND_US)
    return harness.actions[previous_count:]


def test_timeout_leaves_time_for_another_attempt() -> None:
    harness = BalancerHarness("a", "b", "c")
    harness.request("r", 2 * SECOND_US)
    assert 500_000 <= harness.attempts[0].timeout_us <= SECOND_US


def test_request_is_answered_once_after_the_maximum_number_of_attempts() -> None:
    harness = BalancerHarness("a", "b", "c")
    harness.request("r", 20 * SECOND_US)
    for attempt in range(3):
        harness.run(4 * SECOND_US)
        assert len(harness.attempts) == attempt + 1
        harness.end_attempt("r", api.AttemptOutcome.ERROR, attempt)
    assert len(harness.final_answers("r")) == 1
    harness.run(30 * SECOND_US)
    assert len(harness.attempts) == 3


@pytest.mark.parametrize(
    "outcome",
    [
        api.AttemptOutcome.ERROR,
        api.AttemptOutcome.TIMEOUT,
        api.AttemptOutcome.RESET,
        api.AttemptOutcome.CANCELLED,
    ],
)
def test_non_idempotent_request_that_may_have_run_fails(outcome: api.AttemptOutcome) -> None:
    harness = BalancerHarness("a", "b", "c", classes=NON_IDEMPOTENT)
    later_actions = fail_first_attempt(harness, outcome) + harness.run(10 * SECOND_US)
    assert not of_type(later_actions, api.StartAttempt)
    assert not of_type(later_actions, api.Reject)
    assert of_type(later_actions, api.Fail) == [api.Fail("r")]


@pytest.mark.parametrize(
    "outcome",
    [
        api.AttemptOutcome.OVERLOADED,
        api.AttemptOutcome.CONNECT_FAILED,
        api.AttemptOutcome.NOT_SENT,
    ],
)
def test_non_idempotent_request_without_effect_is_retried(outcome: api.AttemptOutcome) -> None:
    harness = BalancerHarness("a", "b", "c", classes=NON_IDEMPOTENT)
    assert of_type(fail_first_attempt(harness, outcome), api.StartAttempt)


@pytest.mark.parametrize("seed", range(12))
def test_keyed_retry_stays_in_its_deduplication_scope(seed: int) -> None:
    harness = BalancerHarness("a", "b", "c", "d", classes=KEYED, seed=seed)
    remote_endpoints = [api.Endpoint(name, api.EndpointState.READY, "there") for name in ("c", "d")]
    harness.update_endpoints(*endpoints("a", "b"), *remote_endpoints, kind=api.EndpointUpdateKind.FULL)
    retries = of_type(fail_first_attempt(harness, api.AttemptOutcome.TIMEOUT), api.StartAttempt)
    scope = {"a", "b"} if harness.attempted_servers[0] in "ab" else {"c", "d"}
    assert {retry.server for retry in retries} <= scope
    assert retries


def test_keyed_retry_has_to_be_sent_within_the_deduplication_window() -> None:
    harness = BalancerHarness("a", "b", "c", classes=KEYED)
    ended_at_us = harness.now_us
    retry = of_type(fail_first_attempt(harness, api.AttemptOutcome.TIMEOUT), api.StartAttempt)[0]
    assert harness.attempts[0].send_before_us is None
    assert retry.send_before_us == ended_at_us - 1000 + 5 * SECOND_US  # the attempt ended after 1 ms


def test_keyed_request_is_not_retried_after_the_deduplication_window() -> None:
    harness = BalancerHarness(
        "a", "b", classes=classes_of(api.Idempotency.IDEMPOTENCY_KEY, window_us=100_000)
    )
    harness.request("r", 10 * SECOND_US)
    harness.now_us += 200_000
    previous_count = len(harness.actions)
    harness.end_attempt("r", api.AttemptOutcome.TIMEOUT, elapsed_us=200_000)
    harness.answer_checks()
    harness.run(11 * SECOND_US)
    later_actions = harness.actions[previous_count:]
    assert not of_type(later_actions, api.StartAttempt)
    assert not of_type(later_actions, api.Reject)
    assert of_type(later_actions, api.Fail)


@pytest.mark.parametrize(
    ("idempotency", "window_us"),
    [(api.Idempotency.NON_IDEMPOTENT, 0), (api.Idempotency.IDEMPOTENCY_KEY, 100_000)],
)
def test_request_that_cannot_be_repeated_is_answered_at_once(
    idempotency: api.Idempotency, window_us: int
) -> None:
    harness = BalancerHarness("a", "b", classes=classes_of(idempotency, window_us))
    harness.request("r")
    harness.now_us += 200_000
    answers = harness.end_attempt("r", api.AttemptOutcome.RESET, elapsed_us=200_000)
    assert answers == [api.Fail("r")]
