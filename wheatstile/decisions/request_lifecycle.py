"""Handles a request from its arrival to its final answer, and the connection that it becomes."""

from wheatstile import interface as api
from wheatstile.decisions.admission import EarlyRejection, SetupRateLimiter
from wheatstile.decisions.attempt_starter import AttemptStarter
from wheatstile.decisions.candidate_selection import CandidateSelector
from wheatstile.decisions.connection import Connection, ConnectionPhase, ExplorationMove
from wheatstile.decisions.connection_table import ConnectionTable
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.exploration import Exploration
from wheatstile.decisions.final_answer import FinalAnswer
from wheatstile.decisions.placement_hash import placement_hash
from wheatstile.decisions.request_placement import RequestPlacement
from wheatstile.decisions.retry_policy import RetryPolicy
from wheatstile.decisions.server import Server

ANSWER_MARGIN_US = 8_000  # the final answer is sent this long before the client's deadline

_ATTEMPTING = ConnectionPhase.ATTEMPTING  # cached, since access to an enum member is slow in Python 3.11


class RequestLifecycle:
    """Handles the events of each request, which has one attempt at a time and one final answer."""

    def __init__(
        self,
        context: EventContext,
        connections: ConnectionTable,
        selector: CandidateSelector,
        retry_policy: RetryPolicy,
        setup_limiter: SetupRateLimiter,
        early_rejection: EarlyRejection,
        exploration: Exploration,
        request_placement: RequestPlacement,
        attempt_starter: AttemptStarter,
        final_answer: FinalAnswer,
    ) -> None:
        self._context = context
        self._connections = connections
        self._selector = selector
        self._retry_policy = retry_policy
        self._setup_limiter = setup_limiter
        self._early_rejection = early_rejection
        self._exploration = exploration
        self._request_placement = request_placement
        self._attempt_starter = attempt_starter
        self._final_answer = final_answer
        self._is_shutting_down = False

    def on_request(self, event: api.Request) -> None:
        """Handle a new request: reject it, send it to a known destination, or check two candidates."""
        if event.id in self._connections:
            return
        connection = self._add_request(event)
        if self._try_follow_exploration(connection) or self._try_probable_server(event, connection):
            return
        if self._is_shutting_down or self._early_rejection.should_reject():
            self._final_answer.send(connection)
        else:
            self._request_placement.place_request(connection)

    def on_existing(self, event: api.ExistingConnection, server: Server) -> None:
        """Add a connection that was open before this balancer started."""
        connection = self._connections.get(event.id)
        if connection is None:
            service_class = self._service_class(event.service_class)
            connection = Connection(event.id, event.key, service_class, deadline_us=0)
        self._connections.restore(connection, server)

    def on_established(self, event: api.Established) -> None:
        """Record that the attempt in flight has succeeded."""
        connection = self._connections.get(event.id)
        if connection and connection.phase is _ATTEMPTING and connection.server:
            connection.server.ejection.record_success()
            self._connections.establish(connection, self._context.now_us)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Handle the end of an attempt or of an open connection: retry, answer or remove it."""
        connection = self._connections.get(event.id)
        if connection is None or not _is_current_attempt(connection, event):
            return
        self._record_outcome(connection, event)
        if connection.is_established or event.closed or event.outcome.is_ok:
            self._exploration.on_connection_ended(connection, event.outcome.is_failure)
            self._connections.remove(connection)
        else:
            started_at_us = self._context.now_us - event.elapsed_us
            connection.end_attempt(event.outcome, started_at_us)
            self._retry(connection, self._exploration.end_move(connection))

    def on_client_disconnected(self, event: api.ClientDisconnected) -> None:
        """Remove a request or an open connection whose client has disconnected."""
        if connection := self._connections.get(event.id):
            self._connections.remove(connection)

    def on_shutdown(self, _event: api.ShutdownStarted) -> None:
        """Answer all waiting requests now, and every later request on arrival."""
        self._is_shutting_down = True
        for connection in self._connections.unanswered():
            self._final_answer.send(connection)

    def _record_outcome(self, connection: Connection, event: api.AttemptEnded) -> None:
        """Record the load report of the server, and the failure of an attempt."""
        server = connection.server
        if server is None:
            return
        if event.report:
            server.load.record_report(event.report, self._context.now_us)
        if event.outcome.is_failure and not connection.is_established:
            server.ejection.record_failure(self._context.now_us)
            self._setup_limiter.on_attempt_failed(event.outcome)

    def _add_request(self, event: api.Request) -> Connection:
        deadline_us = self._context.now_us + event.expires_in_us - ANSWER_MARGIN_US
        # While setups fail, a mid-flow request counts as a repeated setup, since each one that reaches the
        # wrong server causes another setup.
        is_limited_mid_flow = event.midflow and self._setup_limiter.is_reduced
        connection = Connection(
            event.id,
            event.key,
            self._service_class(event.service_class),
            deadline_us,
            is_repeated_setup=event.reconnecting or is_limited_mid_flow,
            placement_hash=placement_hash(event),
        )
        self._connections.add(connection)
        return connection

    def _service_class(self, name: str) -> api.ServiceClass:
        """Return the service class with this name, or the first one if the name is unknown."""
        classes = self._context.settings.classes
        return classes.get(name) or next(iter(classes.values()))

    def _try_follow_exploration(self, connection: Connection) -> bool:
        """Send a client to the destination of its exploration move. Return whether it was sent."""
        if self._is_shutting_down or not connection.key:
            return False
        move = self._exploration.pop_pending_move(connection.key)
        if move is None or not self._selector.is_available(move.destination, connection):
            return False
        self._exploration.on_destination_chosen(connection, move)
        self._attempt_starter.start(connection, move.destination)
        return True

    def _try_probable_server(self, event: api.Request, connection: Connection) -> bool:
        """Send a mid-flow request to the server that probably has its connection. Return whether it was sent.

        Any other server would have to set up the connection again.
        """
        if not event.midflow or connection.is_repeated_setup:
            return False
        probable_server = self._selector.pick_preferring_local_zone(connection)
        if probable_server is None or self._is_shutting_down:
            return False
        self._attempt_starter.start(connection, probable_server)
        return True

    def _retry(self, connection: Connection, move: ExplorationMove | None) -> None:
        """Retry a failed attempt; if it followed a move, preferably at the origin of that move."""
        if not self._retry_policy.allows_retry(connection):
            self._final_answer.send(connection)
        elif move and self._selector.is_available(move.origin, connection):
            self._attempt_starter.start(connection, move.origin)
        else:
            self._request_placement.place_request(connection)


def _is_current_attempt(connection: Connection, event: api.AttemptEnded) -> bool:
    """Return whether an event is about the connection's latest attempt, in flight or established."""
    is_latest = connection.attempts == event.attempt + 1
    return is_latest and (connection.phase is _ATTEMPTING or connection.is_established)
