"""Retry policy: whether another attempt may follow, at which server, and with which timeout."""

from wheatstile import interface as api
from wheatstile.decisions.connection import Connection
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.server import Server

_IDEMPOTENT = api.Idempotency.IDEMPOTENT  # cached, since access to an enum member is slow in Python 3.11


class RetryPolicy:
    """Decides on further attempts. After an attempt that may have run, only a harmless repeat is allowed."""

    def __init__(self, context: EventContext) -> None:
        self._context = context

    def allows_retry(self, connection: Connection) -> bool:
        """Return whether the number of attempts and the deadline allow another attempt."""
        is_below_limit = connection.attempts < self._context.settings.max_attempts
        return is_below_limit and self._context.now_us < connection.deadline_us

    def repeat_window_end_us(self, connection: Connection) -> int | None:
        """Return the time from which a repeat is no longer harmless; None if there is no limit."""
        first_possible_execution = connection.first_possible_execution
        if first_possible_execution is None or connection.service_class.idempotency is _IDEMPOTENT:
            return None
        return first_possible_execution.at_us + int(connection.service_class.repeat_window_us)

    def is_repeat_window_over(self, connection: Connection) -> bool:
        """Return whether an attempt may have run and the time in which a repeat is harmless is over."""
        end_us = self.repeat_window_end_us(connection)
        return end_us is not None and self._context.now_us >= end_us

    def may_attempt_at(self, server: Server, connection: Connection) -> bool:
        """Return whether an attempt at this server is harmless."""
        first_possible_execution = connection.first_possible_execution
        service_class = connection.service_class
        if first_possible_execution is None or service_class.idempotency is _IDEMPOTENT:
            return True
        if self.is_repeat_window_over(connection):
            return False
        return server.endpoint.shares_scope(
            first_possible_execution.server.endpoint, service_class.deduplication_scope
        )

    def attempt_timeout_us(self, connection: Connection, remaining_us: int) -> int:
        """Return the timeout of the next attempt, given the time until the deadline.

        It is half of that time, which leaves the rest for retries, or the latency objective if that is
        longer. The last allowed attempt gets all of the time.
        """
        is_last = connection.attempts >= self._context.settings.max_attempts
        limit_us = remaining_us if is_last else remaining_us // 2
        return max(limit_us, min(connection.service_class.latency_objective_us, remaining_us))
