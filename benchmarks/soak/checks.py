"""The rules that hold for every client of a run."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from soak.records import Attempt, BalancerLife, ClientRequest, Ending, RunRecord

MAX_LATE_ANSWER_S = 0.5  # protocol: an answer after the deadline, and its half second, is lost
SOCKET_TOLERANCE_S = 0.05  # protocol: every time limit is 50 ms longer on sockets
MAX_LINE_DELAY_S = 1.0  # protocol: a line that is held back for longer is lost
KEYED_CLASS = "keyed"
UNSAFE_CLASS = "unsafe"


@dataclass(frozen=True)
class Violation:
    """A broken rule, with the request concerned."""

    rule: str
    request_id: str = ""


def check(record: RunRecord) -> list[Violation]:
    """Return the violations of all rules."""
    attempts = _attempts_by_request(record)
    violations = [
        Violation(rule, request.id)
        for request in record.requests
        for check_request in REQUEST_CHECKS
        for rule in check_request(record, request, attempts[request.id])
    ]
    for life in record.lives:
        violations += [Violation(f"{life.name}: {rule}") for rule in _check_process(record, life)]
    return violations


def _attempts_by_request(record: RunRecord) -> defaultdict[str, list[Attempt]]:
    attempts: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in record.attempts:
        attempts[attempt.id].append(attempt)
    return attempts


def _tolerance_s(record: RunRecord) -> float:
    """Return the tolerance of a time limit: the protocol's, and the delay of the soak's own clocks."""
    return SOCKET_TOLERANCE_S + record.max_lag_s


def check_final_answer(record: RunRecord, request: ClientRequest, _attempts: list[Attempt]) -> Iterator[str]:
    """Check that a request gets one final answer in time, unless its client or its balancer is gone."""
    if request.unexpected_lines:
        yield f"a line that nobody sent: {request.unexpected_lines[0].text!r}"
    if request.answer is None:
        if request.disconnected_at_s is None and not request.balancer.was_killed_outright:
            yield f"no answer; {request.ending}"
        return
    late_s = request.answer.at_s - request.sent_at_s - request.wait_s
    if late_s > MAX_LATE_ANSWER_S + record.max_lag_s:
        yield f"the answer was {late_s:.2f} s late"


def check_receipt(_record: RunRecord, request: ClientRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that an established request has the receipt that a server gave for it."""
    if request.answer and request.is_established:
        receipt = request.answer.text.split()[1]
        if receipt not in {attempt.receipt for attempt in attempts}:
            yield f"no server gave the receipt {receipt}"


def check_one_in_flight(record: RunRecord, _request: ClientRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that an attempt arrives only after the one before it has ended."""
    for earlier, later in itertools.pairwise(attempts):
        ended_at_s = earlier.ended_at_s
        if ended_at_s is None or ended_at_s > later.received_at_s + _tolerance_s(record):
            yield f"attempts at {earlier.server} and {later.server} at one time"


def check_effects(record: RunRecord, request: ClientRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that a request that may have run is not repeated where a repeat may take effect."""
    executed = [attempt for attempt in attempts if attempt.outcome.may_have_run]
    if len(executed) < 2:
        return
    if request.service_class == UNSAFE_CLASS:
        yield "run more than once"
    window_s = record.deduplication_window_s + _tolerance_s(record)
    if (
        request.service_class == KEYED_CLASS
        and executed[-1].received_at_s - executed[0].received_at_s > window_s
    ):
        yield "repeated after its deduplication window"


def check_client_disconnected(
    record: RunRecord, request: ClientRequest, attempts: list[Attempt]
) -> Iterator[str]:
    """Check that nothing is forwarded for a client that has left."""
    disconnected_at_s = request.disconnected_at_s
    if disconnected_at_s is None:
        return
    if any(attempt.received_at_s > disconnected_at_s + _tolerance_s(record) for attempt in attempts):
        yield "forwarded after its client had left"


def check_drain(record: RunRecord, request: ClientRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that nothing new is sent to a server that is draining or gone, beyond the grace."""
    for attempt in attempts:
        notified_at_s = _leaving_notified_at_s(request.balancer, attempt)
        if notified_at_s is None:
            continue
        late_s = attempt.received_at_s - notified_at_s - record.drain_grace_s
        if late_s > _tolerance_s(record):
            yield f"sent to {attempt.server} {late_s:.2f} s after the grace of its drain"


def _leaving_notified_at_s(life: BalancerLife, attempt: Attempt) -> float | None:
    """Return since when a balancer knew that the server of an attempt was leaving, or None."""
    since_s: float | None = None
    for notification in life.notifications:
        if notification.server != attempt.server or notification.at_s > attempt.received_at_s:
            continue
        if notification.phase == "ready":
            since_s = None
        elif since_s is None:
            since_s = notification.at_s
    return since_s


def check_session(record: RunRecord, request: ClientRequest, attempts: list[Attempt]) -> Iterator[str]:
    """Check that a session is not cut off, and its lines are not held back, while its server answers."""
    if not request.is_established:
        return
    server = attempts[-1].server if attempts else ""
    ended_by_server = any(attempt.ended_by_server for attempt in attempts)
    is_cut_off = request.ending is Ending.CLOSED and not ended_by_server
    if is_cut_off and not request.balancer.was_killed_outright:
        yield "cut off without MOVE"
    for echo in request.echoes:
        if echo.delay_s > MAX_LINE_DELAY_S + record.max_lag_s and not _was_unresponsive(
            record, server, echo.sent_at_s
        ):
            yield f"a line was held back for {echo.delay_s:.2f} s"


def _was_unresponsive(record: RunRecord, server: str, sent_at_s: float) -> bool:
    return any(
        name == server and begin_s - MAX_LINE_DELAY_S < sent_at_s < end_s
        for name, begin_s, end_s in record.unresponsive
    )


def _check_process(record: RunRecord, life: BalancerLife) -> Iterator[str]:
    """Check that a process holds no client at SIGKILL, or ends with status 0, and reports no error."""
    yield from life.errors
    if life.was_killed_outright:
        return
    if life.killed_at_s is not None:
        open_requests = [request for request in record.requests if _was_open_at_kill(request, life)]
        if open_requests:
            yield f"had {len(open_requests)} clients at SIGKILL"
    elif life.exit_status != 0:
        yield f"ended with status {life.exit_status}"


def _was_open_at_kill(request: ClientRequest, life: BalancerLife) -> bool:
    """Return whether a client lost its connection because its balancer was killed."""
    if request.balancer is not life or request.ending not in (Ending.OPEN, Ending.CLOSED):
        return False
    return request.ended_at_s is None or life.killed_at_s is None or request.ended_at_s >= life.killed_at_s


RequestCheck = Callable[[RunRecord, ClientRequest, list[Attempt]], Iterator[str]]

REQUEST_CHECKS: tuple[RequestCheck, ...] = (
    check_final_answer,
    check_receipt,
    check_one_in_flight,
    check_effects,
    check_client_disconnected,
    check_drain,
    check_session,
)


def story(record: RunRecord, request_id: str) -> list[str]:
    """Return what both sides saw of one request, in the order of time."""
    events: list[tuple[float, str]] = []
    attempts = record.attempts_of(request_id)
    for request in record.requests:
        if request.id == request_id:
            events += _request_events(request)
            events += _notification_events(request, attempts)
    for attempt in attempts:
        events.append((attempt.received_at_s, f"{attempt.server} received it and answers {attempt.outcome}"))
        if attempt.ended_at_s is not None:
            side = "the server" if attempt.ended_by_server else "the balancer"
            events.append((attempt.ended_at_s, f"{side} ended the connection to {attempt.server}"))
    return [f"{at_s:8.3f} s  {text}" for at_s, text in sorted(events)]


def _notification_events(request: ClientRequest, attempts: list[Attempt]) -> Iterator[tuple[float, str]]:
    """Yield what discovery notified the balancer of about the servers of a request's attempts."""
    servers = {attempt.server for attempt in attempts}
    for notification in request.balancer.notifications:
        if notification.server in servers:
            yield (
                notification.at_s,
                f"{request.balancer.name} is notified: {notification.server} {notification.phase}",
            )


def _request_events(request: ClientRequest) -> Iterator[tuple[float, str]]:
    life = request.balancer
    yield request.sent_at_s, f"{request.service_class} sent to {life.name}, waits {request.wait_s} s"
    if request.answer:
        yield request.answer.at_s, f"answer {request.answer.text!r}"
    for line in request.unexpected_lines:
        yield line.at_s, f"line {line.text!r}"
    if request.ended_at_s is not None:
        yield request.ended_at_s, f"end: {request.ending}"
    if request.disconnected_at_s is not None:
        yield request.disconnected_at_s, "the client left"
    if life.terminated_at_s is not None:
        yield life.terminated_at_s, f"SIGTERM to {life.name}; signals {' '.join(life.signals)}"
    if life.killed_at_s is not None:
        yield life.killed_at_s, f"SIGKILL to {life.name}"
    if life.exited_at_s is not None:
        yield life.exited_at_s, f"{life.name} has ended with status {life.exit_status}"
