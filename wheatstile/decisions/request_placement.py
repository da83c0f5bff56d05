"""Places waiting requests: acquires a token, draws two candidates, checks both, and chooses one."""

from wheatstile import interface as api
from wheatstile.decisions.admission import SetupRateLimiter
from wheatstile.decisions.attempt_starter import AttemptStarter
from wheatstile.decisions.candidate_selection import CandidateSelector
from wheatstile.decisions.connection import Connection, ConnectionPhase
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.final_answer import FinalAnswer
from wheatstile.decisions.fleet_load import FleetLoad
from wheatstile.decisions.health_checks import HealthChecks
from wheatstile.decisions.retry_policy import RetryPolicy
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD

CANDIDATE_TIMEOUT_US = 50_000  # timeout of both health checks; several round trips
MAX_TOKEN_WAIT_TIMEOUTS = 4  # maximum delay between two tries, in multiples of CANDIDATE_TIMEOUT_US

_WAITING = ConnectionPhase.WAITING  # cached, since access to an enum member is slow in Python 3.11
_ATTEMPTING = ConnectionPhase.ATTEMPTING
_CANDIDATE_TIMEOUT = api.TimerKind.CANDIDATE_TIMEOUT


class RequestPlacement:
    """Finds a server for a waiting request, or answers the request if none has capacity in time."""

    def __init__(
        self,
        context: EventContext,
        fleet_load: FleetLoad,
        health_checks: HealthChecks,
        selector: CandidateSelector,
        retry_policy: RetryPolicy,
        setup_limiter: SetupRateLimiter,
        attempt_starter: AttemptStarter,
        final_answer: FinalAnswer,
    ) -> None:
        self._context = context
        self._fleet_load = fleet_load
        self._health_checks = health_checks
        self._selector = selector
        self._retry_policy = retry_policy
        self._setup_limiter = setup_limiter
        self._attempt_starter = attempt_starter
        self._final_answer = final_answer

    def place_request(self, connection: Connection) -> None:
        """Draw two candidates and check both. A repeated setup must first acquire a token."""
        if self._retry_policy.is_repeat_window_over(connection):
            self._final_answer.send(connection)
            return
        if connection.is_repeated_setup and not self._setup_limiter.try_acquire():
            self._wait_for_token(connection)
            return
        connection.wait_for_candidates(self._selector.draw_candidates(connection))
        for server in connection.candidates:
            self._health_checks.check(server, self._choose_candidate, connection)
        if connection.phase is not _ATTEMPTING:
            self._defer(connection, CANDIDATE_TIMEOUT_US)

    def on_timeout(self, connection: Connection, due_us: int) -> None:
        """Decide without the health checks that are still in flight, unless a later timer was set."""
        if due_us == connection.next_decision_at_us:
            self._choose_candidate(connection, is_timed_out=True)

    def _wait_for_token(self, connection: Connection) -> None:
        """Schedule another try to acquire a token for a repeated setup, after a jittered delay."""
        random_share = self._context.random.random()
        timeouts = 1 + (MAX_TOKEN_WAIT_TIMEOUTS - 1) * random_share
        self._defer(connection, int(CANDIDATE_TIMEOUT_US * timeouts))

    def _choose_candidate(self, connection: Connection, is_timed_out: bool = False) -> None:
        """Decide on a waiting request, once both candidates have answered or the timeout has expired.

        Starts an attempt at the less loaded candidate if it is not overloaded. Answers the request if its
        deadline has passed, or if both the candidate and the fleet are overloaded. Otherwise waits, or draws
        other candidates.
        """
        if connection.phase is not _WAITING:
            return
        if not is_timed_out and self._health_checks.is_any_in_flight(connection.candidates):
            return
        best = self._selector.best_candidate(connection)
        if best and self._fleet_load.load_of(best) < OVERLOAD_THRESHOLD:
            self._attempt_starter.start(connection, best)
            return
        is_expired = self._context.now_us >= connection.deadline_us
        if is_expired or (best and self._fleet_load.is_overloaded()):
            self._final_answer.send(connection)
        elif is_timed_out:
            self.place_request(connection)
        elif best:
            # Load reports lag, so an immediate check would return the same loads.
            doublings = connection.candidate_draws - 1
            self._defer(connection, CANDIDATE_TIMEOUT_US << doublings)

    def _defer(self, connection: Connection, delay_us: int) -> None:
        """Schedule the next decision on a waiting request, no later than its deadline.

        It replaces any decision that was scheduled before.
        """
        delay_us = max(1, min(delay_us, connection.deadline_us - self._context.now_us))
        due_us = self._context.now_us + delay_us
        connection.schedule_decision(due_us)
        self._context.set_timer(delay_us, _CANDIDATE_TIMEOUT, connection.id, due_us)
