"""Starts attempts, each with its timeout and the end of its deduplication window."""

from wheatstile import interface as api
from wheatstile.decisions.connection import Connection
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.final_answer import FinalAnswer
from wheatstile.decisions.retry_policy import RetryPolicy
from wheatstile.decisions.server import Server


class AttemptStarter:
    """Starts the attempts of waiting requests."""

    def __init__(self, context: EventContext, retry_policy: RetryPolicy, final_answer: FinalAnswer) -> None:
        self._context = context
        self._retry_policy = retry_policy
        self._final_answer = final_answer

    def start(self, connection: Connection, server: Server) -> None:
        """Start an attempt at a server, or send the final answer if the deadline has passed."""
        remaining_us = connection.deadline_us - self._context.now_us
        if remaining_us <= 0:
            self._final_answer.send(connection)
            return
        connection.begin_attempt(server)
        server.slow_start.charge(self._context.now_us)
        timeout_us = self._retry_policy.attempt_timeout_us(connection, remaining_us)
        send_before_us = self._retry_policy.repeat_window_end_us(connection)
        self._context.add_action(
            api.StartAttempt(connection.id, server.endpoint.name, timeout_us, send_before_us)
        )
