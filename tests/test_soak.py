"""Runs a few seeds of the soak test (`python benchmarks/soak`), and checks that it finds planted faults.

`WHEATSTILE_SEEDS=N-N pytest tests/test_soak.py` repeats the run of seed N.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
from collections.abc import Callable

import pytest
from soak.balancers import planted_program
from soak.checks import check
from soak.clients import MAX_LINE_INTERVAL_S, SAFE_CLASS, SessionTraffic
from soak.records import Attempt, ClientRequest, Ending, Outcome, ProcessRecord, ReceivedLine, RunRecord
from soak.report import run_seed, run_seeds

from wheatstile.net.line_stream import LineStream

FIRST, _, LAST = os.environ.get("WHEATSTILE_SEEDS", "1-4").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)
PARALLEL_RUNS = 4
MAX_SEEDS_PER_FAULT = 10


def test_soak_with_restarts_reloads_and_faults_has_no_violation() -> None:
    results = asyncio.run(run_seeds(SEEDS, PARALLEL_RUNS))
    assert [result.record.seed for result in results if result.violations] == []
    assert all(any(request.is_established for request in result.record.requests) for result in results)


@pytest.mark.parametrize(
    ("fault", "rule"),
    [
        ("drain-ignored", "after the end of its drain grace period"),
        ("answered-twice", "unexpected line"),
        ("client-not-moved", "session closed without MOVE"),
    ],
)
def test_soak_finds_planted_fault(fault: str, rule: str) -> None:
    for seed in range(1, MAX_SEEDS_PER_FAULT + 1):
        result = asyncio.run(run_seed(seed, planted_program(fault)))
        if any(rule in violation.rule for violation in result.violations):
            return
    pytest.fail(f"{fault} was not found by {MAX_SEEDS_PER_FAULT} seeds")


def test_a_client_that_is_idle_when_it_is_migrated_keeps_that_ending() -> None:
    """Guards against a migrated client that is reported as closed without MOVE.

    Its idle period ends between MOVE and the end of the connection.
    """

    async def scenario() -> Ending:
        process_record = ProcessRecord("n0", 0.0)
        request = ClientRequest("r", SAFE_CLASS, process_record, 0.0, 1.0, ReceivedLine(0.1, "UP s0-0"))
        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_connection(listener.getsockname()) as client_end,
            listener.accept()[0] as balancer_end,
        ):
            client = SessionTraffic(LineStream(client_end), request, random.Random(1), lambda: True)
            traffic = asyncio.create_task(client.run())
            balancer = LineStream(balancer_end)
            await balancer.send(await balancer.read_line())  # the echo of the first line
            await balancer.send(b"MOVE\r\n")
            await asyncio.sleep(2 * MAX_LINE_INTERVAL_S)
            balancer_end.shutdown(socket.SHUT_WR)
            await traffic
        return request.ending

    assert asyncio.run(asyncio.wait_for(scenario(), 10)) is Ending.MIGRATED


class RecordedRun:
    """The record of a request with a timeout of 1 s, whose client ends the established session at 2 s."""

    def __init__(self) -> None:
        self.process_record = ProcessRecord("n0", 0.0, exit_status=0)
        self.request = ClientRequest(
            "r", SAFE_CLASS, self.process_record, 0.0, 1.0, ReceivedLine(0.1, "UP s0-0")
        )
        self.request.end(Ending.DISCONNECTED, 2.0)
        self.request.disconnected_at_s = 2.0
        self.first_attempt = Attempt("r", "s0", 0.05, "s0-0", Outcome.ESTABLISHED, ended_at_s=2.0)
        self.record = RunRecord(0, deduplication_window_s=1.0, drain_grace_s=1.0, has_idle_clients=False)
        self.record.requests.append(self.request)
        self.record.attempts.append(self.first_attempt)
        self.record.process_records.append(self.process_record)

    def add_attempt(self, received_at_s: float) -> None:
        """Add an attempt at another server, received when the first attempt is reset."""
        self.first_attempt.outcome = Outcome.RESET
        self.first_attempt.ended_at_s = received_at_s
        attempt = Attempt("r", "s1", received_at_s, "s0-0", Outcome.ESTABLISHED, received_at_s + 1)
        self.record.attempts.append(attempt)


def answer_after_timeout(run: RecordedRun) -> None:
    run.request.answer = ReceivedLine(1.6, "UP s0-0")


def omit_answer(run: RecordedRun) -> None:
    run.request.answer = None
    run.request.disconnected_at_s = None


def answer_with_unknown_receipt(run: RecordedRun) -> None:
    run.request.answer = ReceivedLine(0.1, "UP s9-9")


def repeat_unsafe_request(run: RecordedRun) -> None:
    run.request.service_class = "unsafe"
    run.add_attempt(0.2)


def repeat_after_deduplication_window(run: RecordedRun) -> None:
    run.request.service_class = "keyed"
    run.add_attempt(1.2)


def overlap_attempts(run: RecordedRun) -> None:
    run.add_attempt(0.2)
    run.first_attempt.ended_at_s = 0.5


def forward_after_client_disconnected(run: RecordedRun) -> None:
    run.add_attempt(2.2)


def end_by_sigterm(run: RecordedRun) -> None:
    run.process_record.exit_status = -15


VIOLATIONS = {
    answer_after_timeout: "0.60 s late",
    omit_answer: "no answer",
    answer_with_unknown_receipt: "no server issued the receipt s9-9",
    repeat_unsafe_request: "executed more than once",
    repeat_after_deduplication_window: "repeated after its deduplication window",
    overlap_attempts: "concurrent attempts at s0 and s1",
    forward_after_client_disconnected: "forwarded after its client disconnected",
    end_by_sigterm: "ended with status -15",
}


@pytest.mark.parametrize(("add_violation", "rule"), VIOLATIONS.items())
def test_check_finds_violation_in_record(add_violation: Callable[[RecordedRun], None], rule: str) -> None:
    run = RecordedRun()
    assert check(run.record) == []
    add_violation(run)
    (violation,) = check(run.record)
    assert rule in violation.rule
