"""A short part of the soak (`python benchmarks/soak`), and that the soak finds broken rules.

`WHEATSTILE_SEEDS=N-N pytest tests/test_soak.py` repeats the run of seed N.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

import pytest
from soak.balancers import planted_program
from soak.checks import check
from soak.clients import SAFE_CLASS
from soak.records import Attempt, BalancerLife, ClientRequest, Ending, Outcome, ReceivedLine, RunRecord
from soak.report import play_seed, play_seeds

FIRST, _, LAST = os.environ.get("WHEATSTILE_SEEDS", "1-4").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)
PARALLEL = 4
MAX_PLANTED_SEEDS = 10


def test_clients_keep_their_sessions_through_restarts_reloads_and_failures() -> None:
    results = asyncio.run(play_seeds(SEEDS, PARALLEL))
    assert [result.record.seed for result in results if result.violations] == []
    assert all(any(request.is_established for request in result.record.requests) for result in results)


@pytest.mark.parametrize(
    ("fault", "rule"),
    [
        ("drain-ignored", "after the grace of its drain"),
        ("answered-twice", "a line that nobody sent"),
        ("client-not-moved", "cut off without MOVE"),
    ],
)
def test_a_planted_fault_is_found(fault: str, rule: str) -> None:
    for seed in range(1, MAX_PLANTED_SEEDS + 1):
        result = asyncio.run(play_seed(seed, planted_program(fault)))
        if any(rule in violation.rule for violation in result.violations):
            return
    pytest.fail(f"{fault} was not found by {MAX_PLANTED_SEEDS} seeds")


class RecordedRun:
    """The record of one request, sent at 0 s with 1 s to wait, that was established and left."""

    def __init__(self) -> None:
        self.life = BalancerLife("n0", 0.0, exit_status=0)
        self.request = ClientRequest("r", SAFE_CLASS, self.life, 0.0, 1.0, ReceivedLine(0.1, "UP s0-0"))
        self.request.end(Ending.DISCONNECTED, 2.0)
        self.request.disconnected_at_s = 2.0
        self.first = Attempt("r", "s0", 0.05, "s0-0", Outcome.ESTABLISHED, ended_at_s=2.0)
        self.record = RunRecord(0, deduplication_window_s=1.0, drain_grace_s=1.0, has_crowd=False)
        self.record.requests.append(self.request)
        self.record.attempts.append(self.first)
        self.record.lives.append(self.life)

    def add_attempt(self, received_at_s: float) -> None:
        """Add another attempt, after which the first one had ended."""
        self.first.outcome = Outcome.RESET
        self.first.ended_at_s = received_at_s
        attempt = Attempt("r", "s1", received_at_s, "s0-0", Outcome.ESTABLISHED, received_at_s + 1)
        self.record.attempts.append(attempt)


def answer_late(run: RecordedRun) -> None:
    run.request.answer = ReceivedLine(1.6, "UP s0-0")


def answer_nothing(run: RecordedRun) -> None:
    run.request.answer = None
    run.request.disconnected_at_s = None


def invent_a_receipt(run: RecordedRun) -> None:
    run.request.answer = ReceivedLine(0.1, "UP s9-9")


def repeat_an_unsafe_request(run: RecordedRun) -> None:
    run.request.service_class = "unsafe"
    run.add_attempt(0.2)


def repeat_after_the_window(run: RecordedRun) -> None:
    run.request.service_class = "keyed"
    run.add_attempt(1.2)


def attempt_twice_at_one_time(run: RecordedRun) -> None:
    run.add_attempt(0.2)
    run.first.ended_at_s = 0.5


def forward_after_the_client_left(run: RecordedRun) -> None:
    run.add_attempt(2.2)


def end_with_a_signal(run: RecordedRun) -> None:
    run.life.exit_status = -15


BROKEN_RULES = {
    answer_late: "0.60 s late",
    answer_nothing: "no answer",
    invent_a_receipt: "no server gave the receipt s9-9",
    repeat_an_unsafe_request: "run more than once",
    repeat_after_the_window: "repeated after its deduplication window",
    attempt_twice_at_one_time: "attempts at s0 and s1 at one time",
    forward_after_the_client_left: "forwarded after its client had left",
    end_with_a_signal: "ended with status -15",
}


@pytest.mark.parametrize(("break_rule", "rule"), BROKEN_RULES.items())
def test_a_broken_rule_is_found_in_a_record(break_rule: Callable[[RecordedRun], None], rule: str) -> None:
    run = RecordedRun()
    assert check(run.record) == []
    break_rule(run)
    (violation,) = check(run.record)
    assert rule in violation.rule
