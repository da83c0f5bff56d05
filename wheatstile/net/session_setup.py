"""The setup of a session: attempts at the servers that the decision module names, until one succeeds."""

import asyncio
from math import ceil
from typing import Protocol

from wheatstile import interface as api
from wheatstile.net.client_replies import ERROR_LINE
from wheatstile.net.errors import ClientDisconnectedError, ProtocolError
from wheatstile.net.open_request import OpenRequest
from wheatstile.net.session import Session, wait_for_either
from wheatstile.net.upstream_attempt import AttemptResult, OpenLineProvider
from wheatstile.net.upstream_pool import UpstreamPool

REOPEN_TIMEOUT_S = 40.0  # time limit for a session that was established before this process started
ANSWER_GRACE_S = 0.02  # after the client's time to wait; a request without an answer is then failed here


class SetupContext(Protocol):
    """The listener, as the setup of a session uses it."""

    upstreams: UpstreamPool

    def max_wait_ms(self, request: OpenRequest) -> int:
        """Return how many milliseconds the request's client waits at most."""

    def rejection_line(self, retry_after_ms: int) -> bytes:
        """Return the line that rejects a client. With 0 it names no time to retry after."""


class SessionSetup:
    """Runs one attempt after another, as the decision module decides."""

    def __init__(self, session: Session, context: SetupContext) -> None:
        self._session = session
        self._decisions = session.decisions
        self._context = context
        # Read once, since a reload may remove the class later.
        self._max_wait_ms = context.max_wait_ms(session.request)

    async def run(self) -> bytes | None:
        """Return the client's final answer, or None once the session is established.

        Raises ClientDisconnectedError and ProtocolError when the client's side ends.
        """
        request = self._session.request
        self._decisions.counters["sessions_requested"] += 1
        max_setup_s = REOPEN_TIMEOUT_S if request.reopen_at else self._max_wait_ms / 1000
        try:
            async with asyncio.timeout(min(request.wait_ms / 1000, max_setup_s) + ANSWER_GRACE_S):
                if request.reopen_at:
                    return await self._reopen(request.reopen_at)
                return await self._run_attempts()
        except TimeoutError:
            # The decision module answers within the client's time to wait; this is a safeguard.
            self._decisions.counters["sessions_overdue"] += 1
            self._decisions.dispatch(api.ClientDisconnected(self._session.id))
            return ERROR_LINE
        except (ClientDisconnectedError, ProtocolError):
            self._decisions.counters["clients_disconnected_early"] += 1
            self._decisions.dispatch(api.ClientDisconnected(self._session.id))
            raise

    async def _run_attempts(self) -> bytes | None:
        """Carry out the module's actions until the session is established or has its final answer."""
        session = self._session
        self._decisions.dispatch(session.request.to_event(self._max_wait_ms))
        while True:
            action = await session.unless_client_ends(session.actions.get())
            if not isinstance(action, api.StartAttempt):
                return self._final_answer(action)
            if session.answer_decided.is_set():
                continue  # the module has withdrawn the attempt, and the final answer is the next action
            result = await self._start_attempt(action)
            if result.established:
                return None
            if result.outcome is api.AttemptOutcome.OK:
                return result.line

    def _final_answer(self, action: api.Reject | api.Fail) -> bytes:
        """Return the line for the module's final answer."""
        if isinstance(action, api.Reject):
            self._decisions.counters["sessions_rejected"] += 1
            return self._context.rejection_line(ceil(action.retry_after_us / 1000))
        self._decisions.counters["sessions_failed"] += 1
        return ERROR_LINE

    async def _start_attempt(self, action: api.StartAttempt) -> AttemptResult:
        """Run one attempt, answer the client if it succeeds, and report its end to the decision module."""
        timeout_us = action.timeout_us or self._max_wait_ms * 1000
        open_line = self._session.request.line_with_wait
        start_us = self._decisions.now()
        result = await self._run_attempt(action.server, open_line, timeout_us / 1e6, action.send_before_us)
        elapsed_us = self._decisions.now() - start_us
        if result.established:
            self._on_established(action.server, result, elapsed_us)
        else:
            self._on_attempt_ended(action.server, result, elapsed_us)
        return result

    def _on_established(self, server: str, result: AttemptResult, elapsed_us: int) -> None:
        """Answer the client and report the established session."""
        session = self._session
        self._send_answer(result.line)
        if session.answer_decided.is_set():
            # The module has decided a final answer in the same turn and forgotten the request.
            session.attempt_number = 0
            self._dispatch_existing(server)
        else:
            event = api.Established(session.id, session.attempt_number, server, elapsed_us)
            self._decisions.dispatch(event)

    def _on_attempt_ended(self, server: str, result: AttemptResult, elapsed_us: int) -> None:
        """Close the attempt, then report its end, after which the module may start the next one."""
        session = self._session
        closed = result.outcome is api.AttemptOutcome.OK
        session.close_attempt()
        self._decisions.dispatch(
            api.AttemptEnded(
                session.id, session.attempt_number, server, result.outcome, elapsed_us, closed, result.report
            )
        )
        if not closed:
            session.attempt_number += 1

    async def _reopen(self, server: str) -> bytes | None:
        """Establish a session again that was established before this process started.

        After a restart all balancers reopen all their connections at once, and a lost packet is retransmitted
        after 1 s. So connecting may take all of the time. The success is reported to the decision module.

        Returns the client's final answer, or None once the session is established.
        """
        request = self._session.request
        timeout_s = min(request.wait_ms / 1000, REOPEN_TIMEOUT_S)
        unchanged_line = request.line_with_wait(request.wait_ms)
        result = await self._run_attempt(server, lambda _: unchanged_line, timeout_s, reopening=True)
        if result.established:
            self._send_answer(result.line)
            self._dispatch_existing(server)
            return None
        # Counted and not logged, since any client can name a server to reopen its session at.
        self._decisions.counters[f"session_reopens_failed_{result.outcome}"] += 1
        return ERROR_LINE

    def _dispatch_existing(self, server: str) -> None:
        session = self._session
        self._decisions.dispatch(
            api.ExistingConnection(session.id, session.request.service_class, server, session.request.key)
        )

    async def _run_attempt(
        self,
        server: str,
        open_line: OpenLineProvider,
        timeout_s: float,
        send_before_us: int | None = None,
        reopening: bool = False,
    ) -> AttemptResult:
        """Run one attempt. The attempt before it was closed when it ended, so that there are never two.

        Nothing is sent at or after `send_before_us`, however long the connect takes.

        Raises ClientDisconnectedError and ProtocolError when the client's side ends.
        """
        session = self._session
        session.client.check_waiting()
        session.attempt = self._context.upstreams.new_attempt(server)
        if session.attempt is None:
            return AttemptResult(api.AttemptOutcome.CONNECT_FAILED)

        def line_if_still_wanted(wait_ms: int) -> bytes | None:
            session.client.check_waiting()
            return open_line(wait_ms) if self._may_send(send_before_us) else None

        attempt = asyncio.create_task(
            session.attempt.connect_and_open(line_if_still_wanted, timeout_s, reopening)
        )
        result = await self._unless_answered(attempt)
        self._decisions.counters[f"attempts_{result.label}"] += 1
        return result

    def _may_send(self, send_before_us: int | None) -> bool:
        """Return whether the open line may be sent: no final answer is decided, and it is not too late."""
        if self._session.answer_decided.is_set():
            return False
        return send_before_us is None or self._decisions.now() < send_before_us

    async def _unless_answered(self, attempt: asyncio.Task[AttemptResult]) -> AttemptResult:
        """Return the attempt's result. If the module decides the final answer first, cancel the attempt.

        Raises ClientDisconnectedError and ProtocolError when the client's side ends.
        """
        answer_decided = asyncio.create_task(self._session.answer_decided.wait())
        try:
            await self._session.unless_client_ends(wait_for_either(attempt, answer_decided))
            return attempt.result() if attempt.done() else AttemptResult(api.AttemptOutcome.CANCELLED)
        finally:
            attempt.cancel()
            answer_decided.cancel()
            await asyncio.wait([attempt, answer_decided])
            if not attempt.cancelled():
                attempt.exception()  # marks it as retrieved; the client's reader may have raised the same

    def _send_answer(self, line: bytes) -> None:
        """Send the server's answer to the client, and relay the client's lines from now on.

        Both happen in one turn of the event loop. Otherwise the client's time to wait could end between them,
        and the client would get a second final answer.
        """
        session = self._session
        assert session.attempt
        session.attempt.upstream.waiting_since_us[session.id] = 0
        session.established = True
        try:
            session.unsent_answer = session.client.send_now(line)
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
