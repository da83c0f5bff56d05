"""The final answer to a request: a rejection if a retry by the client is harmless, otherwise a failure."""

from wheatstile import interface as api
from wheatstile.decisions.connection import Connection, ConnectionPhase
from wheatstile.decisions.connection_table import ConnectionTable
from wheatstile.decisions.event_context import EventContext

RETRY_AFTER_US = 1_000_000  # mean delay after which a rejected client should retry

_ATTEMPTING = ConnectionPhase.ATTEMPTING  # cached, since access to an enum member is slow in Python 3.11


class FinalAnswer:
    """Sends each request its one final answer, and ends the request."""

    def __init__(self, context: EventContext, connections: ConnectionTable) -> None:
        self._context = context
        self._connections = connections

    def send(self, connection: Connection) -> None:
        """Reject a request, or fail it if an attempt may have run and a retry could be harmful."""
        may_have_run = connection.first_possible_execution is not None or connection.phase is _ATTEMPTING
        self._connections.remove(connection)
        if may_have_run and not connection.service_class.is_client_retry_harmless:
            self._context.add_action(api.Fail(connection.id))
        else:
            self._context.add_action(api.Reject(connection.id, self._draw_retry_after_us()))

    def _draw_retry_after_us(self) -> int:
        """Draw the delay after which the client should retry; 0 if the settings do not allow one."""
        settings = self._context.settings
        if not settings.retry_after_enabled:
            return 0
        jittered_us = int(RETRY_AFTER_US * (0.5 + self._context.random.random()))
        return min(jittered_us, settings.max_retry_after_us)
