"""Setup of a session: runs attempts at the servers that the decision module selects."""

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

REOPEN_TIMEOUT_S = 40.0  # limit for a session that was established before this process started
ANSWER_GRACE_S = 0.02  # a request without an answer fails this long after the client's timeout


class SetupContext(Protocol):
    """The part of the listener's interface that the setup of a session uses."""

    upstreams: UpstreamPool

    def max_timeout_ms(self, request: OpenRequest) -> int:
        """Return the lower of the request's timeout and the deadline of its class."""

    def rejection_line(self, retry_after_ms: int) -> bytes:
        """Return the line that rejects a client. With 0 it has no retry-after time."""


class SessionSetup:
    """Runs the attempts of one session, one at a time, as the decision module decides."""

    def __init__(self, session: Session, context: SetupContext) -> None:
        self._session = session
        self._decision_loop = session.decision_loop
        self._context = context
        # Read once, since a configuration reload may remove the class later.
        self._max_timeout_ms = context.max_timeout_ms(session.request)

    async def run(self) -> bytes | None:
        """Set up the session. Return the client's final answer, or None if the session is established.

        Raises ClientDisconnectedError or ProtocolError if the client disconnects or violates the protocol.
        """
        request = self._session.request
        self._decision_loop.counters["sessions_requested"] += 1
        max_setup_s = REOPEN_TIMEOUT_S if request.reopen_at else self._max_timeout_ms / 1000
        try:
            async with asyncio.timeout(min(request.timeout_ms / 1000, max_setup_s) + ANSWER_GRACE_S):
                if request.reopen_at:
                    return await self._reopen(request.reopen_at)
                return await self._run_attempts()
        except TimeoutError:
            # Safeguard: the decision module should have decided the final answer within the client's timeout.
            self._decision_loop.counters["sessions_overdue"] += 1
            self._decision_loop.dispatch(api.ClientDisconnected(self._session.id))
            return ERROR_LINE
        except (ClientDisconnectedError, ProtocolError):
            self._decision_loop.counters["clients_disconnected_early"] += 1
            self._decision_loop.dispatch(api.ClientDisconnected(self._session.id))
            raise

    async def _run_attempts(self) -> bytes | None:
        """Carry out the module's actions until the session is established or has a final answer."""
        session = self._session
        self._decision_loop.dispatch(session.request.to_event(self._max_timeout_ms))
        while True:
            action = await session.run_while_client_connected(session.actions.get())
            if not isinstance(action, api.StartAttempt):
                return self._final_answer(action)
            if session.final_answer_decided.is_set():
                continue  # the module has withdrawn the attempt; the final answer follows
            result = await self._start_attempt(action)
            if result.established:
                return None
            if result.outcome is api.AttemptOutcome.OK:
                return result.line

    def _final_answer(self, action: api.Reject | api.Fail) -> bytes:
        """Return the line for the module's final answer."""
        if isinstance(action, api.Reject):
            self._decision_loop.counters["sessions_rejected"] += 1
            return self._context.rejection_line(ceil(action.retry_after_us / 1000))
        self._decision_loop.counters["sessions_failed"] += 1
        return ERROR_LINE

    async def _start_attempt(self, action: api.StartAttempt) -> AttemptResult:
        """Run one attempt and report its result. If the session is established, answer the client first."""
        timeout_us = action.timeout_us or self._max_timeout_ms * 1000
        open_line = self._session.request.line_with_timeout
        start_us = self._decision_loop.now()
        result = await self._run_attempt(action.server, open_line, timeout_us / 1e6, action.send_before_us)
        elapsed_us = self._decision_loop.now() - start_us
        if result.established:
            self._on_established(action.server, result, elapsed_us)
        else:
            self._on_attempt_ended(action.server, result, elapsed_us)
        return result

    def _on_established(self, server: str, result: AttemptResult, elapsed_us: int) -> None:
        """Answer the client and report the established session."""
        session = self._session
        self._send_answer(result.line)
        if session.final_answer_decided.is_set():
            # The module decided a final answer in the same event loop iteration and dropped the request.
            session.attempt_number = 0
            self._dispatch_existing(server)
        else:
            event = api.Established(session.id, session.attempt_number, server, elapsed_us)
            self._decision_loop.dispatch(event)

    def _on_attempt_ended(self, server: str, result: AttemptResult, elapsed_us: int) -> None:
        """Close the attempt, then report its end. The module may start the next attempt in response."""
        session = self._session
        closed = result.outcome is api.AttemptOutcome.OK
        session.close_attempt()
        self._decision_loop.dispatch(
            api.AttemptEnded(
                session.id, session.attempt_number, server, result.outcome, elapsed_us, closed, result.report
            )
        )
        if not closed:
            session.attempt_number += 1

    async def _reopen(self, server: str) -> bytes | None:
        """Reopen a session that was established before this process started.

        After a restart all balancers reopen all their connections at once, and a lost packet is retransmitted
        after 1 s. Connecting may therefore take the whole timeout. Only a success is reported to the decision
        module.

        Returns the client's final answer, or None if the session is established.
        """
        request = self._session.request
        timeout_s = min(request.timeout_ms / 1000, REOPEN_TIMEOUT_S)
        unchanged_line = request.line_with_timeout(request.timeout_ms)
        result = await self._run_attempt(server, lambda _: unchanged_line, timeout_s, reopening=True)
        if result.established:
            self._send_answer(result.line)
            self._dispatch_existing(server)
            return None
        # Counted but not logged, since any client can request to reopen a session at any server.
        self._decision_loop.counters[f"session_reopens_failed_{result.outcome}"] += 1
        return ERROR_LINE

    def _dispatch_existing(self, server: str) -> None:
        session = self._session
        self._decision_loop.dispatch(
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
        """Run one attempt. The previous attempt has already been closed, so there are never two at once.

        The open line is not sent at or after `send_before_us`, however long the connect takes.

        Raises ClientDisconnectedError or ProtocolError if the client disconnects or violates the protocol.
        """
        session = self._session
        session.client.check_awaiting_answer()
        session.attempt = self._context.upstreams.new_attempt(server)
        if session.attempt is None:
            return AttemptResult(api.AttemptOutcome.CONNECT_FAILED)

        def open_line_if_allowed(timeout_ms: int) -> bytes | None:
            session.client.check_awaiting_answer()
            return open_line(timeout_ms) if self._may_send(send_before_us) else None

        attempt = asyncio.create_task(
            session.attempt.connect_and_open(open_line_if_allowed, timeout_s, reopening)
        )
        result = await self._wait_for_attempt(attempt)
        self._decision_loop.counters[f"attempts_{result.counter_suffix}"] += 1
        return result

    def _may_send(self, send_before_us: int | None) -> bool:
        """Return whether the open line may be sent: before the limit, and no final answer is decided."""
        if self._session.final_answer_decided.is_set():
            return False
        return send_before_us is None or self._decision_loop.now() < send_before_us

    async def _wait_for_attempt(self, attempt: asyncio.Task[AttemptResult]) -> AttemptResult:
        """Return the attempt's result. Cancel the attempt if the module decides the final answer first.

        Raises ClientDisconnectedError or ProtocolError if the client disconnects or violates the protocol.
        """
        final_answer_decided = asyncio.create_task(self._session.final_answer_decided.wait())
        try:
            await self._session.run_while_client_connected(wait_for_either(attempt, final_answer_decided))
            return attempt.result() if attempt.done() else AttemptResult(api.AttemptOutcome.CANCELLED)
        finally:
            attempt.cancel()
            final_answer_decided.cancel()
            await asyncio.wait([attempt, final_answer_decided])
            if not attempt.cancelled():
                attempt.exception()  # marks it as retrieved; client_reader may have raised the same error

    def _send_answer(self, line: bytes) -> None:
        """Send the server's answer to the client and mark the session as established.

        Both happen in one iteration of the event loop. Otherwise the client's timeout could expire in
        between, and the client would get a second final answer.
        """
        session = self._session
        assert session.attempt
        session.attempt.upstream.unanswered_since_us[session.id] = 0
        session.established = True
        try:
            session.unsent_answer = session.client.send_now(line)
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
