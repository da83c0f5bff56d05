"""The setup of a session: attempts at the servers that the module names, until one is established."""

import asyncio
from typing import Protocol

from wheatstile import interface as api
from wheatstile.net.client_replies import ERROR_LINE
from wheatstile.net.errors import ClientDisconnectedError, ProtocolError
from wheatstile.net.open_request import OpenRequest
from wheatstile.net.session import Session, wait_for_either
from wheatstile.net.upstream_attempt import AttemptResult, OpenLineProvider
from wheatstile.net.upstream_pool import UpstreamPool

REOPEN_TIMEOUT_S = 40.0  # in which a session from before this process has to be established again
ANSWER_GRACE_S = 0.02  # past its client's time, after which a request that nobody answered is failed here


class SetupContext(Protocol):
    """What a setup needs of the listener."""

    upstreams: UpstreamPool

    def max_wait_ms(self, request: OpenRequest) -> int:
        """Return the milliseconds that this request's client waits at most."""

    def rejection_line(self, retry_after_ms: int) -> bytes:
        """Return the line that rejects a client; 0: it is told no time to retry after."""


class SessionSetup:
    """Runs one attempt after another, as the decision module decides."""

    def __init__(self, session: Session, context: SetupContext) -> None:
        self._session = session
        self._decisions = session.decisions
        self._context = context
        # Read once, since a reload may remove the class later.
        self._max_wait_ms = context.max_wait_ms(session.request)

    async def run(self) -> bytes | None:
        """Return the client's final answer; None once the session is established.

        Raises ClientDisconnectedError and ProtocolError as the client's side ends.
        """
        request = self._session.request
        self._decisions.counters["sessions_requested"] += 1
        longest_s = REOPEN_TIMEOUT_S if request.reopen_at else self._max_wait_ms / 1000
        try:
            async with asyncio.timeout(min(request.wait_ms / 1000, longest_s) + ANSWER_GRACE_S):
                return await (self._reopen(request.reopen_at) if request.reopen_at else self._run_attempts())
        except TimeoutError:
            # The module answers before a client's time is up; should it not, nobody is left without answer.
            self._decisions.counters["sessions_overdue"] += 1
            self._decisions.dispatch(api.ClientDisconnected(self._session.id))
            return ERROR_LINE
        except (ClientDisconnectedError, ProtocolError):
            self._decisions.counters["clients_disconnected_early"] += 1
            self._decisions.dispatch(api.ClientDisconnected(self._session.id))
            raise

    async def _run_attempts(self) -> bytes | None:
        """Do as the module decides until the session is established or has its final answer."""
        session = self._session
        self._decisions.dispatch(session.request.to_event(self._max_wait_ms))
        while True:
            action = await session.unless_client_ends(session.actions.get())
            if isinstance(action, api.Reject):
                self._decisions.counters["sessions_rejected"] += 1
                return self._context.rejection_line(-(-action.retry_after_us // 1000))
            if isinstance(action, api.Fail):
                self._decisions.counters["sessions_failed"] += 1
                return ERROR_LINE
            if session.answer_decided.is_set():
                continue  # given up on before it was sent: the answer is the next action
            timeout_s = (action.timeout_us or self._max_wait_ms * 1000) / 1e6
            start_us = self._decisions.now()
            result = await self._run_attempt(
                action.server, session.request.line_with_wait, timeout_s, action.send_before_us
            )
            elapsed_us = self._decisions.now() - start_us
            if result.established:
                self._on_established(action.server, result, elapsed_us)
                return None
            self._on_attempt_ended(action.server, result, elapsed_us)
            if result.outcome is api.AttemptOutcome.OK:
                return result.line

    def _on_established(self, server: str, result: AttemptResult, elapsed_us: int) -> None:
        session = self._session
        self._send_answer(result.line)
        if session.answer_decided.is_set():  # the module gave up in the same turn, and has forgotten it
            session.attempt_number = 0
            self._dispatch_existing(server)
        else:
            event = api.Established(session.id, session.attempt_number, server, elapsed_us)
            self._decisions.dispatch(event)

    def _on_attempt_ended(self, server: str, result: AttemptResult, elapsed_us: int) -> None:
        session = self._session
        closed = result.outcome is api.AttemptOutcome.OK
        session.close_attempt()  # before the module can ask for the next
        self._decisions.dispatch(
            api.AttemptEnded(
                session.id, session.attempt_number, server, result.outcome, elapsed_us, closed, result.report
            )
        )
        if not closed:
            session.attempt_number += 1

    async def _reopen(self, server: str) -> bytes | None:
        """Establish a session again that stood before this process: the module hears of it once it stands."""
        request = self._session.request
        timeout_s = min(request.wait_ms / 1000, REOPEN_TIMEOUT_S)
        # All balancers reopen all their connections at once, and a packet lost then comes again after 1 s.
        unchanged_line = request.line_with_wait(request.wait_ms)
        result = await self._run_attempt(server, lambda _: unchanged_line, timeout_s, reopening=True)
        if result.established:
            self._send_answer(result.line)
            self._dispatch_existing(server)
            return None
        # No log line for each: any client can write at=.
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
        """Runs one attempt. The attempt before it was closed when it ended, so that there are never two.

        Nothing is sent at or after `send_before_us`, however long the connection took to come up.
        """
        session = self._session
        session.client.check_waiting()
        session.attempt = self._context.upstreams.new_attempt(server)
        if session.attempt is None:
            return AttemptResult(api.AttemptOutcome.CONNECT_FAILED)

        def line_if_still_wanted(wait_ms: int) -> bytes | None:
            session.client.check_waiting()
            if session.answer_decided.is_set() or self._is_past(send_before_us):
                return None
            return open_line(wait_ms)

        attempt = asyncio.create_task(
            session.attempt.connect_and_open(line_if_still_wanted, timeout_s, reopening)
        )
        result = await self._unless_answered(attempt)
        self._decisions.counters[f"attempts_{result.label}"] += 1
        return result

    def _is_past(self, time_us: int | None) -> bool:
        return time_us is not None and self._decisions.now() >= time_us

    async def _unless_answered(self, attempt: asyncio.Task[AttemptResult]) -> AttemptResult:
        """Return the attempt's result, unless the module decides the final answer meanwhile: then stop it."""
        answer_decided = asyncio.create_task(self._session.answer_decided.wait())
        try:
            await self._session.unless_client_ends(wait_for_either(attempt, answer_decided))
            return attempt.result() if attempt.done() else AttemptResult(api.AttemptOutcome.CANCELLED)
        finally:
            attempt.cancel()
            answer_decided.cancel()
            await asyncio.wait([attempt, answer_decided])
            if not attempt.cancelled():
                attempt.exception()  # that the client has left may be known from the reader already

    def _send_answer(self, line: bytes) -> None:
        """Send the client the server's answer, and pass the client's lines on from now.

        In one turn: were the client's time out in between, it would get a second final answer.
        """
        session = self._session
        assert session.attempt
        session.attempt.upstream.waiting_since_us[session.id] = 0
        session.established = True
        try:
            session.unsent_answer = session.client.send_now(line)
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
