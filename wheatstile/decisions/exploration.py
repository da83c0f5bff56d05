"""The paper's dynamics: capped exploration on a balancer-wide clock, and the ratio rule for the way back.

"Fast, Concurrent and Distributed Load Balancing under Switching Costs and Imperfect Observations"; the names
t, beta, gamma, n, X_i and X_j are the paper's.
"""

from math import log

from wheatstile.decisions import selection
from wheatstile.decisions.load import load_of
from wheatstile.decisions.state import BalancerState, Connection, Exploration
from wheatstile.interface import TimerKind

SLOT_US = 4_000_000  # long enough for a move to show in reports that are seconds late
BETA = 0.75  # the middle of the range for which the paper proves convergence
GAMMA_CAP = 0.01  # each move costs its client a gap and a setup; at even loads most moves gain nothing


def gamma_at(t: int) -> float:
    """The exploration probability of slot t."""
    return float(min(GAMMA_CAP, max(t, 1) ** -BETA))


def return_probability(x_i: float, x_j: float, n: int, gamma: float) -> float:
    """Proposition 1: how likely a connection that moved from load x_i to load x_j goes back."""
    if x_j >= x_i:
        return 1.0
    if n < 2 or x_j <= x_i * (1 - n * gamma / (n - 1)):  # noqa: PLR2004
        return 0.0
    return 1 - (n - 1) / (n * gamma) * (1 - x_j / x_i)


def start(state: BalancerState) -> None:
    """Set the phase of the slots."""
    state.set_jittered_timer(SLOT_US, TimerKind.EXPLORATION_SLOT)


def on_slot(state: BalancerState) -> None:
    """Odd slots explore, even ones compare."""
    state.set_timer(SLOT_US, TimerKind.EXPLORATION_SLOT)
    state.slot += 1
    state.expire_migrations()
    if not state.health_checks_enabled or len(state.ready) < 2:  # noqa: PLR2004
        return
    first_index = _skipped_connections(state)  # drawn in every slot, also in those that compare
    if state.slot % 2:
        _explore_some(state, first_index)
    else:
        _compare_all(state)


def _skipped_connections(state: BalancerState) -> int:
    """How many connections in a row do not explore: one draw in place of one for each connection."""
    return int(log(1 - state.random.random()) / log(1 - gamma_at(state.slot)))


def _explore_some(state: BalancerState, next_index: int) -> None:
    for index, connection in enumerate(state.established):
        if index == next_index and connection.server:
            next_index += 1 + _skipped_connections(state)
            state.check_server_of(connection, _explore)


def _compare_all(state: BalancerState) -> None:
    for connection in state.established:
        if connection.exploration and connection.server:
            state.check_server_of(connection, _compare)


def _explore(state: BalancerState, connection: Connection) -> None:
    """Move to a uniformly drawn other server, now that X_i has been read."""
    target = selection.pick(state, None, connection.server)
    if connection in state.established and connection.server and target:
        x_i = load_of(state, connection.server)
        move = Exploration(connection.server, target, x_i, gamma_at(state.slot))
        state.migrate(connection, move, 2 * SLOT_US)


def _compare(state: BalancerState, connection: Connection) -> None:
    """The ratio rule, one slot after the move."""
    move = connection.exploration
    connection.exploration = None
    if not move or not connection.server or connection not in state.established:
        return
    if move.origin.ejected_until_us > state.now_us:
        return
    x_j = load_of(state, connection.server)
    probability = return_probability(move.x_i, x_j, len(state.ready), move.gamma)
    if move.origin.endpoint.is_ready and state.random.random() < probability:
        move.is_return = True
        state.migrate(connection, move, 2 * SLOT_US)
