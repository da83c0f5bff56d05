"""A request from its arrival to its one final answer: candidates, attempts, retries."""

from wheatstile import interface as api
from wheatstile.decisions.admission import EarlyRejection, SetupRateLimiter
from wheatstile.decisions.candidate_selection import CandidateSelector
from wheatstile.decisions.connection import Connection, ConnectionPhase, ExplorationMove
from wheatstile.decisions.connection_table import ConnectionTable
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.exploration import Exploration
from wheatstile.decisions.final_answer import FinalAnswer
from wheatstile.decisions.fleet_load import FleetLoad
from wheatstile.decisions.health_checks import HealthChecks
from wheatstile.decisions.placement import placement_hash
from wheatstile.decisions.retry_policy import RetryPolicy
from wheatstile.decisions.server import Server
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD

CANDIDATE_TIMEOUT_US = 50_000  # time for both health checks, which is several round trips
MAX_TOKEN_WAIT_TIMEOUTS = 4  # longest wait of a setup without a token, in multiples of CANDIDATE_TIMEOUT_US
ANSWER_MARGIN_US = 8_000  # the final answer is sent this long before the client's deadline

_WAITING = ConnectionPhase.WAITING  # cached: access to an enumeration's member is slow in Python 3.11
_ATTEMPTING = ConnectionPhase.ATTEMPTING
_CANDIDATE_TIMEOUT = api.TimerKind.CANDIDATE_TIMEOUT


class RequestLifecycle:
    """Starts the attempts of each request, one at a time, and gives the final answer before the deadline."""

    def __init__(
        self,
        context: EventContext,
        connections: ConnectionTable,
        fleet_load: FleetLoad,
        health_checks: HealthChecks,
        selector: CandidateSelector,
        retry_policy: RetryPolicy,
        final_answer: FinalAnswer,
        setup_limiter: SetupRateLimiter,
        early_rejection: EarlyRejection,
        exploration: Exploration,
    ) -> None:
        self._context = context
        self._connections = connections
        self._fleet_load = fleet_load
        self._health_checks = health_checks
        self._selector = selector
        self._retry_policy = retry_policy
        self._final_answer = final_answer
        self._setup_limiter = setup_limiter
        self._early_rejection = early_rejection
        self._exploration = exploration
        self._is_shutting_down = False

    def on_request(self, event: api.Request) -> None:
        """Handle a new request: reject it, send it to a known destination, or check two candidates."""
        if event.id in self._connections:
            return
        connection = self._add_request(event)
        if self._try_follow_exploration(connection) or self._try_mid_flow(event, connection):
            return
        if self._is_shutting_down or self._early_rejection.rejects():
            self._final_answer.give(connection)
        else:
            self._check_candidates(connection)

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
        """Handle the end of an attempt or of an open connection: retry, answer, or forget it."""
        connection = self._connections.get(event.id)
        if connection is None or not _is_last_attempt(connection, event):
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
        """Forget a request or an open connection whose client has disconnected."""
        if connection := self._connections.get(event.id):
            self._connections.remove(connection)

    def on_candidate_timeout(self, connection: Connection, due_us: int) -> None:
        """Decide without further answers of the candidates, unless a later timer was set."""
        if due_us == connection.next_decision_at_us:
            self._choose_candidate(connection, is_timed_out=True)

    def on_shutdown(self, _event: api.ShutdownStarted) -> None:
        """Answer all waiting requests now, and every later request at its arrival."""
        self._is_shutting_down = True
        for connection in self._connections.unanswered():
            self._final_answer.give(connection)

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
        # While setups fail, a mid-flow request counts as a repeated setup, since every miss is another setup.
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
        """Return the class with this name; the first one if the name is unknown."""
        classes = self._context.settings.classes
        return classes.get(name) or next(iter(classes.values()))

    def _try_follow_exploration(self, connection: Connection) -> bool:
        """Send a client that was migrated by exploration to its destination. Return whether it did."""
        if self._is_shutting_down or not connection.key:
            return False
        move = self._exploration.take_pending(connection.key)
        if move is None or not self._selector.is_available(move.destination, connection):
            return False
        self._exploration.on_destination_chosen(connection, move)
        self._start_attempt(connection, move.destination)
        return True

    def _try_mid_flow(self, event: api.Request, connection: Connection) -> bool:
        """Send mid-flow packets to the server that probably has their connection, if there is one.

        Any other server would set the connection up anew.
        """
        if not event.midflow or connection.is_repeated_setup:
            return False
        holder = self._selector.pick_near(connection)
        if holder is None or self._is_shutting_down:
            return False
        self._start_attempt(connection, holder)
        return True

    def _check_candidates(self, connection: Connection) -> None:
        """Draw two candidates and check both. A repeated setup waits for a token first."""
        if self._retry_policy.is_repeat_window_over(connection):
            self._final_answer.give(connection)
            return
        if connection.is_repeated_setup and not self._setup_limiter.try_acquire():
            self._wait_for_token(connection)
            return
        connection.wait_for_candidates(self._selector.draw_candidates(connection))
        for server in connection.candidates:
            self._health_checks.check(server, self._choose_candidate, connection)
        if connection.phase is not _ATTEMPTING:
            self._defer(connection, CANDIDATE_TIMEOUT_US)

    def _wait_for_token(self, connection: Connection) -> None:
        """Have a repeated setup ask for a token again after a jittered delay."""
        random_share = self._context.random.random()
        timeouts = 1 + (MAX_TOKEN_WAIT_TIMEOUTS - 1) * random_share
        self._defer(connection, int(CANDIDATE_TIMEOUT_US * timeouts))

    def _choose_candidate(self, connection: Connection, is_timed_out: bool = False) -> None:
        """Decide on a waiting request, once both candidates have answered or the time-out has passed.

        Starts an attempt at the less loaded candidate if that has room, answers the request if nothing has
        room before its deadline, and else waits or draws other candidates.
        """
        if connection.phase is not _WAITING:
            return
        if not is_timed_out and self._health_checks.is_any_in_flight(connection.candidates):
            return
        best = self._selector.best_candidate(connection)
        if best and self._fleet_load.load_of(best) < OVERLOAD_THRESHOLD:
            self._start_attempt(connection, best)
            return
        is_expired = self._context.now_us >= connection.deadline_us
        if is_expired or (best and self._fleet_load.is_overloaded()):
            self._final_answer.give(connection)
        elif is_timed_out:
            self._check_candidates(connection)
        elif best:
            # Reports are late: a check right now would return the same loads.
            doublings = connection.candidate_draws - 1
            self._defer(connection, CANDIDATE_TIMEOUT_US << doublings)

    def _defer(self, connection: Connection, delay_us: int) -> None:
        """Schedule the next decision on a waiting request, by its deadline at the latest.

        It replaces the decision that was scheduled before.
        """
        delay_us = max(1, min(delay_us, connection.deadline_us - self._context.now_us))
        due_us = self._context.now_us + delay_us
        connection.schedule_decision(due_us)
        self._context.set_timer(delay_us, _CANDIDATE_TIMEOUT, connection.id, due_us)

    def _start_attempt(self, connection: Connection, server: Server) -> None:
        """Start an attempt at a server, or answer if the deadline has passed."""
        remaining_us = connection.deadline_us - self._context.now_us
        if remaining_us <= 0:
            self._final_answer.give(connection)
            return
        connection.begin_attempt(server)
        server.slow_start.charge(self._context.now_us)
        timeout_us = self._retry_policy.attempt_timeout_us(connection, remaining_us)
        send_before_us = self._retry_policy.repeat_window_end_us(connection)
        self._context.act(api.StartAttempt(connection.id, server.endpoint.name, timeout_us, send_before_us))

    def _retry(self, connection: Connection, move: ExplorationMove | None) -> None:
        """Retry a failed attempt, at the origin of the client's move if it had one."""
        if not self._retry_policy.may_attempt_again(connection):
            self._final_answer.give(connection)
        elif move and self._selector.is_available(move.origin, connection):
            self._start_attempt(connection, move.origin)
        else:
            self._check_candidates(connection)


def _is_last_attempt(connection: Connection, event: api.AttemptEnded) -> bool:
    """Return whether an event is about the connection's last attempt, in flight or established."""
    is_last = connection.attempts == event.attempt + 1
    return is_last and (connection.phase is _ATTEMPTING or connection.is_established)
