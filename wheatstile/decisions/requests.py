"""The life of a request: candidates, attempts, retries, and its one final answer (rules 1 and 2)."""

from zlib import crc32

from wheatstile import interface as api
from wheatstile.decisions import admission, health, selection
from wheatstile.decisions.load import OVERLOAD_THRESHOLD, load_in, load_of, mean_load
from wheatstile.decisions.state import BalancerState, Connection, Exploration, Server

CANDIDATE_TIMEOUT_US = 50_000  # for the answers of the candidates: several round trips
ANSWER_MARGIN_US = 8_000  # a final answer leaves so long before the client's time is out
RETRY_AFTER_US = 1_000_000  # a rejected client stays away about this long
OUTCOMES_THAT_SLOW_DOWN = (api.AttemptOutcome.ERROR, api.AttemptOutcome.TIMEOUT)


def on_request(state: BalancerState, event: api.Request) -> None:
    """A client asks for a connection: it waits until two random servers have answered a check."""
    if event.id in state.connections:
        return
    # Mid-flow packets often miss their server: while setups fail, a thousand misses fed a storm.
    is_retry = event.reconnecting or (event.midflow and state.setup_limiter.rate < admission.INITIAL_RATE)
    deadline_us = state.now_us + event.expires_in_us - ANSWER_MARGIN_US
    connection = state.add_connection(event, deadline_us, is_retry)
    # Every server that holds any of a group pays for it: a group that draws one pair stays on two.
    group = event.affinity_group or ("" if event.reconnecting else event.key)
    connection.placement_hash = crc32(group.encode()) if group else 0
    if event.key and not state.is_shutting_down and _follow_exploration(state, event.key, connection):
        return
    if event.midflow and not is_retry:  # the likelier holder; elsewhere it would be set up anew
        holder = selection.pick(state, connection, in_zone=state.settings.cross_zone_cost > 0)
        if holder and not state.is_shutting_down:
            _start_attempt(state, connection, holder)
            return
    if state.is_shutting_down or admission.is_rejected_early(state):
        _answer(state, connection)
    else:
        _select_candidates(state, connection)


def _follow_exploration(state: BalancerState, key: str, connection: Connection) -> bool:
    """Send a client that was told to move to the server drawn for it, or back."""
    move = state.pending_migrations.pop(key, None)
    if not move or move.expires_at_us <= state.now_us:
        return False
    target = move.origin if move.is_return else move.target
    if not _is_available(state, target, connection):
        return False
    connection.exploration = None if move.is_return else move
    _start_attempt(state, connection, target)
    return True


def _is_available(state: BalancerState, server: Server, connection: Connection) -> bool:
    is_ejected = server.ejected_until_us > state.now_us
    return not is_ejected and selection.is_eligible(state, server, connection)


def _select_candidates(state: BalancerState, connection: Connection) -> None:
    """Draw two candidates and check both. A repeated setup first waits for its turn."""
    if connection.is_past_repeat_window(state.now_us):
        _answer(state, connection)
        return
    if connection.is_retry and not admission.try_acquire(state):
        state.defer(connection, int(CANDIDATE_TIMEOUT_US * (1 + 3 * state.random.random())))
        return
    connection.is_retry = False
    selection.select_candidates(state, connection)
    for server in connection.candidates:
        state.check(server, choose_candidate, connection)
    if not connection.attempt_in_flight:
        state.defer(connection, CANDIDATE_TIMEOUT_US)


def choose_candidate(state: BalancerState, connection: Connection, is_expired: bool = False) -> None:
    """Send a waiting request to the less loaded candidate once both have answered, or time is up."""
    if not state.is_waiting(connection):
        return
    if not is_expired and any(server.is_being_checked for server in connection.candidates):
        return
    best = selection.least_loaded_candidate(state, connection)
    if best and load_of(state, best) < OVERLOAD_THRESHOLD:
        _start_attempt(state, connection, best)
    elif state.now_us >= connection.deadline_us or (best and mean_load(state) >= OVERLOAD_THRESHOLD):
        _answer(state, connection)
    elif is_expired:  # the fleet has room though this pair has not: another pair
        _select_candidates(state, connection)
    elif best:  # reports are late: asked again at once, the servers say what they said
        state.defer(connection, CANDIDATE_TIMEOUT_US << connection.candidate_draws >> 1)


def _start_attempt(state: BalancerState, connection: Connection, server: Server) -> None:
    """One attempt, with half of the time left (the rest is for retries), or its objective if that is more."""
    remaining_us = connection.deadline_us - state.now_us
    if remaining_us <= 0:
        _answer(state, connection)
        return
    state.begin_attempt(connection, server)
    limit_us = remaining_us // 2 if connection.attempts < state.settings.max_attempts else remaining_us
    timeout_us = max(limit_us, min(connection.service_class.latency_objective_us, remaining_us))
    send_before_us = connection.repeat_window_end_us
    state.actions.append(api.StartAttempt(connection.id, server.endpoint.name, timeout_us, send_before_us))


def _answer(state: BalancerState, connection: Connection) -> None:
    """The final answer: a rejection where a retry is harmless."""
    state.connections.pop(connection.id)
    may_have_run = connection.first_forwarded or connection.attempt_in_flight
    if may_have_run and not connection.service_class.is_client_retry_harmless:
        state.actions.append(api.Fail(connection.id))
        return
    retry_after_us = 0
    if state.settings.retry_after_enabled:
        jittered_us = int(RETRY_AFTER_US * (0.5 + state.random.random()))
        retry_after_us = min(jittered_us, state.settings.max_retry_after_us)
    state.actions.append(api.Reject(connection.id, retry_after_us))


def on_shutdown(state: BalancerState) -> None:
    """Answer whoever waits, and from now on whoever comes."""
    state.is_shutting_down = True
    for connection in state.unanswered():
        _answer(state, connection)


def on_attempt_ended(state: BalancerState, event: api.AttemptEnded) -> None:
    """An attempt or a connection has ended: another attempt, the final answer, or the way back."""
    connection = state.connection_of_attempt(event)
    if connection is None:
        return
    is_established = connection in state.established
    if event.report and connection.server:
        connection.server.record_load(load_in(event.report), state.now_us)
    has_failed = event.outcome.is_failure
    if has_failed and connection.server and not is_established:
        health.eject(state, connection.server)
        if event.outcome in OUTCOMES_THAT_SLOW_DOWN:
            state.setup_limiter.on_failure()
    move = connection.exploration
    if is_established or event.closed or event.outcome.is_ok:
        if move and has_failed and connection.key:  # a drop after a move reads as a load above X_i
            move.is_return = True
            state.pending_migrations[connection.key] = move
        state.forget(connection.id)
    else:
        state.end_attempt(connection, event)
        _retry(state, connection, move)


def _retry(state: BalancerState, connection: Connection, move: Exploration | None) -> None:
    if connection.attempts >= state.settings.max_attempts or state.now_us >= connection.deadline_us:
        _answer(state, connection)
    elif move and _is_available(state, move.origin, connection):
        _start_attempt(state, connection, move.origin)
    else:
        _select_candidates(state, connection)
