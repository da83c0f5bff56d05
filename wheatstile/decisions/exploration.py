"""Exploration: random migrations on a balancer-wide clock, and the ratio rule that decides on the return.

Implements "Fast, Concurrent and Distributed Load Balancing under Switching Costs and Imperfect Observations",
with a cap on the exploration probability. The names t, beta, gamma, n, X_i and X_j are the paper's.
"""

from math import log

from wheatstile import interface as api
from wheatstile.decisions.candidate_selection import CandidateSelector
from wheatstile.decisions.connection import Connection, ExplorationMove
from wheatstile.decisions.connection_table import ConnectionTable
from wheatstile.decisions.endpoint_table import EndpointTable
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.fleet_load import FleetLoad
from wheatstile.decisions.health_checks import HealthChecks

SLOT_US = 4_000_000  # long enough for load reports, which lag by seconds, to show a migration
BETA = 0.75  # the middle of the range for which the paper proves convergence
GAMMA_CAP = 0.01  # low, since each migration costs its client an interruption and a setup
MIN_SERVERS = 2  # minimum number of ready servers for exploration
MOVE_TIMEOUT_US = 2 * SLOT_US  # a client that reconnects later is placed as a new one


def gamma_at(t: int) -> float:
    """Return the exploration probability of slot t."""
    return float(min(GAMMA_CAP, max(t, 1) ** -BETA))


def return_probability(x_i: float, x_j: float, n: int, gamma: float) -> float:
    """Return the probability of a move back to load x_i after a move to load x_j (Proposition 1)."""
    if x_j >= x_i:
        return 1.0
    if n < MIN_SERVERS or x_j <= x_i * (1 - n * gamma / (n - 1)):
        return 0.0
    return 1 - (n - 1) / (n * gamma) * (1 - x_j / x_i)


class Exploration:
    """Migrates random open connections, and some of them back.

    Holds the clock t, and the moves whose clients have not reconnected yet.
    """

    def __init__(
        self,
        context: EventContext,
        endpoints: EndpointTable,
        connections: ConnectionTable,
        fleet_load: FleetLoad,
        health_checks: HealthChecks,
        selector: CandidateSelector,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._connections = connections
        self._fleet_load = fleet_load
        self._health_checks = health_checks
        self._selector = selector
        self._slot = 0  # the paper's clock t
        self._pending: dict[str, ExplorationMove] = {}  # keyed by client key

    @property
    def pending_moves(self) -> dict[str, ExplorationMove]:
        """The moves whose clients have not reconnected yet, by client key."""
        return self._pending

    def start(self) -> None:
        """Start the slot timer, at a random phase."""
        self._context.set_jittered_timer(SLOT_US, api.TimerKind.EXPLORATION_SLOT)

    def on_slot(self) -> None:
        """Begin a slot: odd slots explore, even slots compare loads."""
        self._context.set_timer(SLOT_US, api.TimerKind.EXPLORATION_SLOT)
        self._slot += 1
        self._expire_moves()
        if not self._context.health_checks_enabled or len(self._endpoints.ready_servers) < MIN_SERVERS:
            return
        first_index = self._draw_skip_count()  # also drawn in even slots, where it is not used
        is_odd_slot = self._slot % 2 == 1
        if is_odd_slot:
            self._explore_from(first_index)
        else:
            self._compare_all()

    def pop_pending_move(self, key: str) -> ExplorationMove | None:
        """Remove and return the move of a client that reconnects; None if it has none or it has expired."""
        move = self._pending.pop(key, None)
        if move is None or move.expires_at_us <= self._context.now_us:
            return None
        return move

    def on_destination_chosen(self, connection: Connection, move: ExplorationMove) -> None:
        """Record that a reconnecting client is sent to the destination of its move."""
        connection.exploration_move = None if move.is_return else move

    def end_move(self, connection: Connection) -> ExplorationMove | None:
        """End the move of a connection, if it has one, and return the move."""
        move = connection.exploration_move
        connection.exploration_move = None
        return move

    def on_connection_ended(self, connection: Connection, has_failed: bool) -> None:
        """Send the client of a failed connection back to the origin of its move, if there was one.

        The failure counts as a load above X_i. The client must reconnect before the move expires.
        """
        move = connection.exploration_move
        if move and has_failed and connection.key:
            move.is_return = True
            self._pending[connection.key] = move

    def _draw_skip_count(self) -> int:
        """Draw the number of connections to skip before the next one that explores.

        This replaces one draw per connection.
        """
        return int(log(1 - self._context.random.random()) / log(1 - gamma_at(self._slot)))

    def _explore_from(self, next_index: int) -> None:
        for index, connection in enumerate(self._connections.established):
            if index == next_index and connection.server:
                next_index += 1 + self._draw_skip_count()
                self._health_checks.check_server_of(connection, self._explore)

    def _compare_all(self) -> None:
        for connection in self._connections.established:
            if connection.exploration_move:
                self._health_checks.check_server_of(connection, self._compare)

    def _explore(self, connection: Connection) -> None:
        """Migrate a connection to another server, drawn at random. A health check has just measured X_i."""
        origin = connection.server
        target = self._selector.pick(None, excluded=origin)
        if not connection.is_established or not origin or not target:
            return
        x_i = self._fleet_load.load_of(origin)
        self._migrate(connection, ExplorationMove(origin, target, x_i, gamma_at(self._slot)))

    def _compare(self, connection: Connection) -> None:
        """Apply the ratio rule, one slot after the move."""
        move = self.end_move(connection)
        if not move or not connection.server or not connection.is_established:
            return
        if move.origin.ejection.is_active(self._context.now_us):
            return
        x_j = self._fleet_load.load_of(connection.server)
        probability = return_probability(move.x_i, x_j, len(self._endpoints.ready_servers), move.gamma)
        if move.origin.endpoint.is_ready and self._context.random.random() < probability:
            move.is_return = True
            self._migrate(connection, move)

    def _migrate(self, connection: Connection, move: ExplorationMove) -> None:
        """Migrate a connection, and keep its client's move for MOVE_TIMEOUT_US."""
        if connection.key:
            move.expires_at_us = self._context.now_us + MOVE_TIMEOUT_US
            self._pending[connection.key] = move
        self._context.add_action(api.Migrate(connection.id))
        self._connections.remove(connection)

    def _expire_moves(self) -> None:
        now_us = self._context.now_us
        self._pending = {key: move for key, move in self._pending.items() if move.expires_at_us > now_us}
