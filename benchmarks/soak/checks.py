"""Checks the record of a run against the rules of the platform's protocol."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from soak.records import Attempt, ClientRequest, Ending, ProcessRecord, RunRecord

MAX_ANSWER_LATENESS_S = 0.5  # protocol: an answer that misses the deadline by more than this counts as lost
SOCKET_TOLERANCE_S = 0.05  # protocol: added to each time limit if the connections are sockets
MAX_LINE_DELAY_S = 1.0  # protocol: a line that is delayed for longer counts as lost
KEYED_CLASS = "keyed"
UNSAFE_CLASS = "unsafe"


@dataclass(frozen=True)
class Violation:
    """A violation of a rule. `request_id` is empty if the violation concerns a process."""

    rule: str
    request_id: str = ""


def check(record: RunRecord) -> list[Violation]:
    """Return all violations of rules in this record."""
    attempts = _attempts_by_request(record)
    violations = [
        Violation(rule, request.id)
        for request in record.requests
        for check_request in REQUEST_CHECKS
        for rule in check_request(record, request, attempts[request.id])
    ]
    for process_record in record.process_records:
        violations += [
            Violation(f"{process_record.name}: {rule}") for rule in _check_process(record, process_record)
        ]
    return violations


def _attempts_by_request(record: RunRecord) -> defaultdict[str, list[Attempt]]:
    attempts: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in record.attempts:
        attempts[attempt.id].append(attempt)
    return attempts


def _tolerance_s(record: RunRecord) -> float:
    """Return the tolerance for a time limit: the protocol's, plus the lag of the soak test's event loop."""
    return SOCKET_TOLERANCE_S + record.max_loop_lag_s


def check_final_answer(record: RunRecord, request: ClientRequest, _attempts: list[Attempt]) -> Iterator[str]:
    """Check that a request gets one final answer in time.

    No answer is required if the client disconnected or the balancer was killed without SIGTERM.
    """
    if request.unexpected_lines:
        yield f"unexpected line: {request.unexpected_lines[0].text!r}"
    if request.answer is None:
        if request.disconnected_at_s is None and not request.balancer.was_killed_without_sigterm:
            yield f"no answer; connection: {request.ending}"
        return
    lateness_s = request.answer.at_s - request.sent_at_s - request.timeout_s
    if lateness_s > MAX_ANSWER_LATENESS_S + record.max_loop_lag_s:
        yield f"the answer was {lateness_s:.2f} s late"


def check_receipt(_record: RunRecord, request: ClientRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that the receipt in the answer to an established request was issued for it by a server."""
    if request.answer and request.is_established:
        receipt = request.answer.text.split()[1]
        if receipt not in {attempt.receipt for attempt in attempts}:
            yield f"no server issued the receipt {receipt}"


def check_one_in_flight(record: RunRecord, _request: ClientRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that each attempt is received only after the previous attempt has ended."""
    for earlier, later in itertools.pairwise(attempts):
        ended_at_s = earlier.ended_at_s
        if ended_at_s is None or ended_at_s > later.received_at_s + _tolerance_s(record):
            yield f"concurrent attempts at {earlier.server} and {later.server}"


def check_repeated_execution(
    record: RunRecord, request: ClientRequest, attempts: list[Attempt]
) -> Iterator[str]:
    """Check that a request that may have been executed is repeated only as its service class permits."""
    executed = [attempt for attempt in attempts if attempt.outcome.may_have_run]
    if len(executed) < 2:
        return
    if request.service_class == UNSAFE_CLASS:
        yield "executed more than once"
    window_s = record.deduplication_window_s + _tolerance_s(record)
    if (
        request.service_class == KEYED_CLASS
        and executed[-1].received_at_s - executed[0].received_at_s > window_s
    ):
        yield "repeated after its deduplication window"


def check_client_disconnected(
    record: RunRecord, request: ClientRequest, attempts: list[Attempt]
) -> Iterator[str]:
    """Check that a request is not forwarded after its client has disconnected."""
    disconnected_at_s = request.disconnected_at_s
    if disconnected_at_s is None:
        return
    if any(attempt.received_at_s > disconnected_at_s + _tolerance_s(record) for attempt in attempts):
        yield "forwarded after its client disconnected"


def check_drain(record: RunRecord, request: ClientRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that no attempt is sent to a draining or removed server after the drain grace period."""
    for attempt in attempts:
        notified_at_s = _drain_notified_at_s(request.balancer, attempt)
        if notified_at_s is None:
            continue
        lateness_s = attempt.received_at_s - notified_at_s - record.drain_grace_s
        if lateness_s > _tolerance_s(record):
            yield f"sent to {attempt.server} {lateness_s:.2f} s after the end of its drain grace period"


def _drain_notified_at_s(process_record: ProcessRecord, attempt: Attempt) -> float | None:
    """Return when the balancer was notified that the server is draining or gone; None if it is ready."""
    since_s: float | None = None
    for notification in process_record.notifications:
        if notification.server != attempt.server or notification.at_s > attempt.received_at_s:
            continue
        if notification.phase == "ready":
            since_s = None
        elif since_s is None:
            since_s = notification.at_s
    return since_s


def check_session(record: RunRecord, request: ClientRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that the balancer closes a session only after MOVE, and delays no line of a responsive server."""
    if not request.is_established:
        return
    server = attempts[-1].server if attempts else ""
    ended_by_server = any(attempt.ended_by_server for attempt in attempts)
    is_closed_by_balancer = request.ending is Ending.CLOSED and not ended_by_server
    if is_closed_by_balancer and not request.balancer.was_killed_without_sigterm:
        yield "session closed without MOVE"
    for echo in request.echoes:
        if echo.delay_s > MAX_LINE_DELAY_S + record.max_loop_lag_s and not _was_unresponsive(
            record, server, echo.sent_at_s
        ):
            yield f"a line was delayed by {echo.delay_s:.2f} s"


def _was_unresponsive(record: RunRecord, server: str, sent_at_s: float) -> bool:
    return any(
        name == server and begin_s - MAX_LINE_DELAY_S < sent_at_s < end_s
        for name, begin_s, end_s in record.unresponsive_periods
    )


def _check_process(record: RunRecord, process_record: ProcessRecord) -> Iterator[str]:
    """Check that a process logs no error, and either ends with status 0 or has no clients at SIGKILL."""
    yield from process_record.errors
    if process_record.was_killed_without_sigterm:
        return
    if process_record.sigkill_at_s is not None:
        open_requests = [request for request in record.requests if _was_open_at_kill(request, process_record)]
        if open_requests:
            yield f"{len(open_requests)} clients were connected at SIGKILL"
    elif process_record.exit_status != 0:
        yield f"ended with status {process_record.exit_status}"


def _was_open_at_kill(request: ClientRequest, process_record: ProcessRecord) -> bool:
    """Return whether the connection of a client was open when SIGKILL was sent to its balancer."""
    if request.balancer is not process_record or request.ending not in (Ending.OPEN, Ending.CLOSED):
        return False
    return (
        request.ended_at_s is None
        or process_record.sigkill_at_s is None
        or request.ended_at_s >= process_record.sigkill_at_s
    )


RequestCheck = Callable[[RunRecord, ClientRequest, list[Attempt]], Iterator[str]]

REQUEST_CHECKS: tuple[RequestCheck, ...] = (
    check_final_answer,
    check_receipt,
    check_one_in_flight,
    check_repeated_execution,
    check_client_disconnected,
    check_drain,
    check_session,
)


def request_timeline(record: RunRecord, request_id: str) -> list[str]:
    """Return the events that clients, servers and discovery recorded for one request, ordered by time."""
    events: list[tuple[float, str]] = []
    attempts = record.attempts_of(request_id)
    for request in record.requests:
        if request.id == request_id:
            events += _request_events(request)
            events += _notification_events(request, attempts)
    for attempt in attempts:
        events.append(
            (attempt.received_at_s, f"{attempt.server} receives the request, outcome {attempt.outcome}")
        )
        if attempt.ended_at_s is not None:
            side = "the server" if attempt.ended_by_server else "the balancer"
            events.append((attempt.ended_at_s, f"{side} ends the connection to {attempt.server}"))
    return [f"{at_s:8.3f} s  {text}" for at_s, text in sorted(events)]


def _notification_events(request: ClientRequest, attempts: list[Attempt]) -> Iterator[tuple[float, str]]:
    """Yield the notifications to the balancer about the servers of the attempts."""
    servers = {attempt.server for attempt in attempts}
    for notification in request.balancer.notifications:
        if notification.server in servers:
            yield (
                notification.at_s,
                f"{request.balancer.name} is notified that {notification.server} is {notification.phase}",
            )


def _request_events(request: ClientRequest) -> Iterator[tuple[float, str]]:
    process_record = request.balancer
    yield (
        request.sent_at_s,
        f"{request.service_class} request sent to {process_record.name}, timeout {request.timeout_s} s",
    )
    if request.answer:
        yield request.answer.at_s, f"answer {request.answer.text!r}"
    for line in request.unexpected_lines:
        yield line.at_s, f"line {line.text!r}"
    if request.ended_at_s is not None:
        yield request.ended_at_s, f"connection of the client: {request.ending}"
    if request.disconnected_at_s is not None:
        yield request.disconnected_at_s, "the client disconnects"
    if process_record.sigterm_at_s is not None:
        yield (
            process_record.sigterm_at_s,
            f"SIGTERM to {process_record.name}; all signals: {' '.join(process_record.signals)}",
        )
    if process_record.sigkill_at_s is not None:
        yield process_record.sigkill_at_s, f"SIGKILL to {process_record.name}"
    if process_record.exited_at_s is not None:
        yield (
            process_record.exited_at_s,
            f"{process_record.name} ends with status {process_record.exit_status}",
        )
