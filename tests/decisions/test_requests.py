"""The life of a request: one final answer, attempts, retries (rules 1 and 2)."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from support.balancer_harness import SECOND_US, BalancerHarness, entries, of_type, settings

from wheatstile import interface as api
from wheatstile.decisions.load import OVERLOAD_THRESHOLD

FINAL = (api.Reject, api.Fail)
OUTCOMES = list(api.AttemptOutcome)
KEYED = {
    "web": api.ServiceClass(
        "web", 500_000, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ZONE, 5 * SECOND_US
    )
}
UNSAFE = {
    "web": api.ServiceClass(
        "web", 500_000, api.Idempotency.NON_IDEMPOTENT, deduplication_window_us=5 * SECOND_US
    )
}


def test_request_without_answers_is_rejected_before_its_deadline() -> None:
    harness = BalancerHarness("a", "b")
    harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
    harness.probes.clear()  # no probe is ever answered
    start = harness.now
    while not finals(harness, "r"):
        at, _, token = min(harness.timers)
        harness.timers.remove(min(harness.timers))
        harness.now = at
        harness.dispatch(api.TimerFired(token))
        harness.probes.clear()
        assert harness.now <= start + 2 * SECOND_US
    assert finals(harness, "r") == 1
    assert not of_type(harness.log, api.StartAttempt)


def test_shutdown_answers_all_that_waits_and_all_that_comes() -> None:
    for classes, answer in ((settings().classes, api.Reject), (UNSAFE, api.Fail)):
        harness = BalancerHarness("a", "b", classes=classes)
        harness.request("sent")
        harness.dispatch(api.Request("held", "web", 2 * SECOND_US))
        harness.connect("stands", "a")
        actions = harness.dispatch(api.ShutdownStarted())
        # What is out may run: only where a repeat is harmless may its client be told to come again.
        assert [type(a) for a in actions] == [answer, api.Reject]
        assert [type(a) for a in harness.dispatch(api.Request("late", "web", 2 * SECOND_US))] == [api.Reject]


def test_shutdown_rejects_a_migrated_client_that_comes_back() -> None:
    harness = BalancerHarness("a", "b", "c")
    for id in range(200):
        harness.connect(f"c{id}", "a", key=f"c{id}")
    for _ in range(200):  # until an exploration has moved one
        harness.run(SECOND_US)
        if moved := [
            key
            for key, move in harness.balancer.state.pending_migrations.items()
            if move.expires_at_us > harness.now + SECOND_US
        ]:
            break
    assert moved
    harness.dispatch(api.ShutdownStarted())
    for key in moved:  # whoever comes back now would be sent to its target without a look
        back = harness.dispatch(api.Request("again" + key, "web", 2 * SECOND_US, key=key, reconnecting=True))
        assert [type(action) for action in back] == [api.Reject]


def test_empty_endpoint_list_ends_in_a_rejection() -> None:
    harness = BalancerHarness()
    harness.request("r")
    harness.run(3 * SECOND_US)
    assert finals(harness, "r") == 1


def test_timeout_leaves_room_for_another_attempt() -> None:
    harness = BalancerHarness("a", "b", "c")
    harness.request("r", 2 * SECOND_US)
    assert 500_000 <= of_type(harness.log, api.StartAttempt)[0].timeout_us <= SECOND_US


def test_attempts_end_at_the_limit() -> None:
    harness = BalancerHarness("a", "b", "c")
    harness.request("r", 20 * SECOND_US)
    for attempt in range(3):
        harness.run(4 * SECOND_US)
        sends = of_type(harness.log, api.StartAttempt)
        assert len(sends) == attempt + 1
        harness.dispatch(api.AttemptEnded("r", attempt, sends[-1].server, api.AttemptOutcome.ERROR, 1000))
    assert finals(harness, "r") == 1
    harness.run(30 * SECOND_US)
    assert len(of_type(harness.log, api.StartAttempt)) == 3


@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["request", "established", "ended", "left", "delay", "probe", "list", "time"]),
            st.integers(0, 3),
            st.sampled_from(OUTCOMES),
            st.booleans(),
        ),
        max_size=60,
    ),
    st.integers(0, 5),
    st.sampled_from(list(api.Idempotency)),
)
def test_any_order_of_events_keeps_the_rules(  # noqa: C901, PLR0912  one branch for each kind of event
    script: list[tuple[str, int, str, bool]], seed: int, repeat: api.Idempotency
) -> None:
    """Late, doubled and stray events: one final answer, one attempt at a time, nothing after the end."""
    classes = {
        "web": api.ServiceClass(
            "web",
            500_000,
            repeat,
            api.DeduplicationScope.ZONE,
            5 * SECOND_US,
            message_latency_objective_us=50_000,
        )
    }
    harness = BalancerHarness("s0", "s1", "s2", "s3", seed=seed, classes=classes)
    out: dict[str, int] = {}  # requests with an attempt out -> the attempt's number
    over: set[str] = set()
    seen = 0
    for step, (what, index, outcome, flag) in enumerate(script):
        id, server = f"r{index}", f"s{index}"
        answers: list[api.Action] = []
        if what == "request":
            id = f"r{index}-{step}"
            answers = harness.request(id, key=f"k{index}", reconnecting=flag)
        elif what == "time":
            answers = harness.run(SECOND_US if flag else 100_000)
        elif what == "list":
            kept = [e for e in entries("s0", "s1", "s2", "s3") if flag or e.name != server]
            answers = harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FULL, kept))
        elif what == "probe":
            answers = harness.dispatch(
                api.HealthCheckResult(
                    server, api.AttemptOutcome(outcome), 10, {"load": 0.5} if flag else None
                )
            )
        elif out:
            id = sorted(out)[index % len(out)]
            attempt = out[id]
            if what == "ended":
                closed = flag or outcome == "ok"
                if closed:
                    over.add(id)
                del out[id]
                answers = harness.dispatch(
                    api.AttemptEnded(id, attempt, server, api.AttemptOutcome(outcome), 1000, closed)
                )
            elif what == "established":
                answers = harness.dispatch(api.Established(id, attempt, server, 1000))
            elif what == "delay":
                answers = harness.dispatch(api.MessageLatencyChanged(id, server, 500.0))
            elif what == "left":
                over.add(id)
                answers = harness.dispatch(api.ClientDisconnected(id))
            answers = answers + harness.answer_checks()
        for action in harness.log[seen:]:
            if isinstance(action, api.StartAttempt):
                assert action.id not in over, "sent after the end"
                assert action.id not in out, "two attempts out"
                out[action.id] = (
                    sum(1 for a in of_type(harness.log, api.StartAttempt) if a.id == action.id) - 1
                )
            elif isinstance(action, (*FINAL, api.Migrate)):
                assert action.id not in over, "a second final answer"
                over.add(action.id)
        seen = len(harness.log)


def fail_first(harness: BalancerHarness, outcome: str) -> list[api.Action]:
    harness.request("r", 10 * SECOND_US)
    first = of_type(harness.log, api.StartAttempt)[0].server
    mark = len(harness.log)
    harness.dispatch(api.AttemptEnded("r", 0, first, api.AttemptOutcome(outcome), 1000))
    harness.answer_checks()
    harness.run(SECOND_US)
    return harness.log[mark:]


def finals(harness: BalancerHarness, id: str) -> int:
    return sum(1 for action in harness.log if isinstance(action, FINAL) and action.id == id)


@pytest.mark.parametrize("outcome", ["error", "timeout", "reset", "cancelled"])
def test_non_idempotent_request_that_may_have_run_fails(outcome: str) -> None:
    harness = BalancerHarness("a", "b", "c", classes=UNSAFE)
    after = fail_first(harness, outcome) + harness.run(10 * SECOND_US)
    assert not of_type(after, api.StartAttempt)
    assert not of_type(after, api.Reject)
    assert of_type(after, api.Fail) == [api.Fail("r")]


@pytest.mark.parametrize("outcome", ["overloaded", "connect_failed", "not_sent"])
def test_non_idempotent_request_that_never_ran_is_retried(outcome: str) -> None:
    assert of_type(fail_first(BalancerHarness("a", "b", "c", classes=UNSAFE), outcome), api.StartAttempt)


def test_keyed_retry_stays_in_its_deduplication_scope() -> None:
    for seed in range(12):
        harness = BalancerHarness("a", "b", "c", "d", classes=KEYED, seed=seed)
        there = [api.Endpoint(name, api.EndpointState.READY, "there") for name in ("c", "d")]
        harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FULL, entries("a", "b") + there))
        after = fail_first(harness, "timeout")
        group = {"a", "b"} if of_type(harness.log, api.StartAttempt)[0].server in "ab" else {"c", "d"}
        assert {send.server for send in of_type(after, api.StartAttempt)} <= group
        assert of_type(after, api.StartAttempt)


def test_keyed_retry_has_to_be_sent_within_the_deduplication_window() -> None:
    harness = BalancerHarness("a", "b", "c", classes=KEYED)
    started_us = harness.now
    retry = of_type(fail_first(harness, "timeout"), api.StartAttempt)[0]
    assert of_type(harness.log, api.StartAttempt)[0].send_before_us is None
    assert retry.send_before_us == started_us - 1000 + 5 * SECOND_US  # the first attempt ended after 1 ms


def test_keyed_retry_ends_with_the_deduplication_window() -> None:
    harness = BalancerHarness(
        "a",
        "b",
        classes={
            "web": api.ServiceClass(
                "web", 500_000, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ZONE, 100_000
            )
        },
    )
    harness.request("r", 10 * SECOND_US)
    harness.now += 200_000
    mark = len(harness.log)
    harness.dispatch(
        api.AttemptEnded(
            "r", 0, of_type(harness.log, api.StartAttempt)[0].server, api.AttemptOutcome.TIMEOUT, 200_000
        )
    )
    harness.answer_checks()
    harness.run(11 * SECOND_US)
    after = harness.log[mark:]
    assert not of_type(after, api.StartAttempt)
    assert not of_type(after, api.Reject)
    assert of_type(after, api.Fail)


def test_duplicate_request_is_held_once() -> None:
    harness = BalancerHarness("a", "b")
    harness.request("r")
    assert harness.request("r") == []


def test_reconnecting_client_gets_other_candidates() -> None:
    harness = BalancerHarness(*[f"s{index}" for index in range(20)], seed=3)
    sent = set()
    for index in range(16):
        harness.run(15 * SECOND_US)
        harness.request(f"r{index}", key="k", reconnecting=True)
        sent.add(of_type(harness.log, api.StartAttempt)[-1].server)
    assert len(sent) > 4


def test_overloaded_candidates_are_drawn_again_while_the_fleet_has_room() -> None:
    """At a mean load of 0.65 a fifth of the newcomers were refused, as both of their pair were full."""
    harness = BalancerHarness(
        *"abcdef", loads=dict.fromkeys("abcd", OVERLOAD_THRESHOLD + 0.1) | dict.fromkeys("ef", 0.1)
    )
    for index in range(60):
        harness.request(f"r{index}", key=f"k{index}")
    harness.run(2 * SECOND_US)
    assert len(of_type(harness.log, api.StartAttempt)) == 60


def test_slow_check_is_waited_for_no_longer_than_the_candidate_timeout() -> None:
    harness = BalancerHarness("a", "b")
    harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
    harness.probes.clear()
    harness.dispatch(api.HealthCheckResult("a", api.AttemptOutcome.OK, 10, {"load": 0.3}))
    assert not of_type(harness.log, api.StartAttempt)
    [hold] = [timer for timer in harness.timers if timer[2].kind is api.TimerKind.CANDIDATE_TIMEOUT]
    harness.now = hold[0]
    harness.dispatch(api.TimerFired(hold[2]))
    assert of_type(harness.log, api.StartAttempt)[-1].server == "a"


def test_requests_are_placed_without_health_checks() -> None:
    harness = BalancerHarness("a", "b", health_checks_enabled=False, load_metrics=())
    harness.request("r")
    assert of_type(harness.log, api.StartAttempt)
    assert not of_type(harness.log, api.CheckHealth)


def test_events_of_unknown_connections_are_ignored() -> None:
    harness = BalancerHarness("a")
    for event in (
        api.Established("x", 0, "a", 1),
        api.AttemptEnded("x", 0, "nowhere", api.AttemptOutcome.OK),
        api.ClientDisconnected("x"),
        api.HealthCheckResult("nowhere", api.AttemptOutcome.OK),
        api.TimerFired(api.TimerToken(api.TimerKind.CANDIDATE_TIMEOUT, "x", 1)),
        api.TimerFired(api.TimerToken(api.TimerKind.REBALANCE, "x")),
        api.MessageLatencyChanged("x", "a", 99.0),
        api.ExistingConnection("x", "web", "nowhere"),
    ):
        assert harness.dispatch(event) == []


@pytest.mark.parametrize(
    "change", [{"fleet_size": 0}, {"classes": {}}, {"slow_start_initial_capacity": float("nan")}]
)
def test_impossible_settings_are_named(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(change))):
        settings(**change)


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    code = (
        "import sys; sys.path.insert(0, 'tests')\n"
        "from support.balancer_harness import BalancerHarness\n"
        "w = BalancerHarness('a', 'b', 'c', 'd', seed=5)\n"
        "for i in range(100): w.request(f'r{i}', key=f'k{i}')\n"
        "for i in range(0, 100, 3): w.establish(f'r{i}')\n"
        "w.run(30_000_000); print(w.log)"
    )
    outputs = set()
    for seed in ("0", "1", "77"):
        run = subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            cwd=Path(__file__).parents[2],
            capture_output=True,
            text=True,
            check=True,
        )
        outputs.add(run.stdout)
    assert len(outputs) == 1
    assert len(outputs.pop()) > 1000


@pytest.mark.parametrize(("repeat", "window"), [("unsafe", 0), ("keyed", 100_000)])
def test_request_that_cannot_be_repeated_is_answered_at_once(repeat: str, window: int) -> None:
    """It was held until its client's time was out, though nothing could be tried any more."""
    harness = BalancerHarness(
        "a",
        "b",
        classes={
            "web": api.ServiceClass(
                "web", 500_000, api.Idempotency(repeat), api.DeduplicationScope.ZONE, window
            )
        },
    )
    harness.request("r")
    sent = [action.server for action in harness.log if isinstance(action, api.StartAttempt)]
    harness.now += 200_000
    answers = harness.dispatch(api.AttemptEnded("r", 0, sent[-1], api.AttemptOutcome.RESET, 200_000))
    assert answers == [api.Fail("r")]


def test_waiting_request_checks_ever_less_often() -> None:
    """Each draw armed a timer that drew again: at forty balancers with full servers 1,200 probes a second."""
    names = [f"s{number}" for number in range(40)]  # too many for one request to find all full
    harness = BalancerHarness(*names, loads=dict.fromkeys(names, OVERLOAD_THRESHOLD + 0.1))
    harness.request("r:1", expires_in_us=4 * SECOND_US)  # with a colon in its id, its timers were lost
    harness.run(4 * SECOND_US)
    assert 6 <= len(of_type(harness.log, api.CheckHealth)) <= 14
    assert of_type(harness.log, api.Reject)


def test_early_timer_is_not_lost() -> None:
    """Its time not yet up by a host's rounding, the only timer of a held request was passed over."""
    harness = BalancerHarness()
    harness.request("r", expires_in_us=SECOND_US)
    for _ in range(1000):
        timer = min(harness.timers)
        harness.timers.remove(timer)
        harness.now = max(harness.now + 1, timer[0] - 300)
        harness.dispatch(api.TimerFired(timer[2]))
        if of_type(harness.log, api.Reject):
            break
    assert of_type(harness.log, api.Reject)
    assert harness.now < 1001 * SECOND_US  # before its client gives up
