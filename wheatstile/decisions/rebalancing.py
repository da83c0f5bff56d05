"""Rebalancing: connections move away from servers that are overloaded while the fleet has room."""

from wheatstile.decisions import load
from wheatstile.decisions.state import BalancerState, Connection, Server
from wheatstile.interface import TimerKind

US_PER_MS = 1000
REBALANCE_INTERVAL_US = 1_000_000  # to see in late reports what the last one did
SETTLING_TIME_US = 2_000_000  # where loads alone tell, a connection that is younger is not moved
LOAD_CHECK_INTERVAL_US = 1_000_000  # where nothing reports latencies
MAX_LOAD_CHECK_INTERVAL_US = 4_000_000  # while no server is overloaded


def start(state: BalancerState) -> None:
    """Begin the load checks, if no latencies are reported."""
    state.load_check_interval_us = LOAD_CHECK_INTERVAL_US
    if state.health_checks_enabled and not state.settings.reports_message_latency:
        state.set_jittered_timer(LOAD_CHECK_INTERVAL_US, TimerKind.LOAD_CHECK)


def on_endpoints_changed(state: BalancerState) -> None:
    """Check more often: the clients of a server that leaves come to others."""
    state.load_check_interval_us = LOAD_CHECK_INTERVAL_US


def on_load_check_due(state: BalancerState) -> None:
    """Read a server, drawn by what its connections here ask of it."""
    state.set_timer(state.load_check_interval_us, TimerKind.LOAD_CHECK)
    state.load_check_interval_us = min(state.load_check_interval_us * 3 // 2, MAX_LOAD_CHECK_INTERVAL_US)
    if state.established:
        weights = [1.0 + connection.load for connection in state.established]
        connection = state.random.choices(list(state.established), weights)[0]
        state.check_server_of(connection, on_load_read)


def on_server_read(state: BalancerState, server: Server) -> None:
    """Whatever a server was read for: between two load checks it fills in seconds."""
    is_full = load.load_of(state, server) > load.SEVERE_OVERLOAD_THRESHOLD
    if is_full and not state.settings.reports_message_latency:
        connections = state.connections_at(server)
        if connections:
            on_load_read(state, connections[0])


def on_latency(state: BalancerState, connection: Connection, latency_ms: float) -> None:
    """Messages take longer than wanted at a server: read its load, at most once an interval."""
    server = connection.server
    if connection not in state.established or not server:
        return
    is_late = latency_ms * US_PER_MS > connection.service_class.message_latency_objective_us > 0
    server.least_load = float(latency_ms > server.message_latency_ms)
    server.message_latency_ms = latency_ms
    if is_late and server.rebalanced_until_us <= state.now_us:
        server.rebalanced_until_us = state.now_us + REBALANCE_INTERVAL_US
        # All balancers are told in the same instant: asking at once they would fill the server.
        state.set_jittered_timer(REBALANCE_INTERVAL_US / 2, TimerKind.REBALANCE, connection.id)


def on_load_read(state: BalancerState, connection: Connection) -> None:
    """Relieve a server that was read as overloaded, and check again until it is not.

    One that did not answer may only stand still for a moment: it is asked again before all is moved.
    """
    server = connection.server
    if not server or load.mean_load(state) >= load.OVERLOAD_THRESHOLD:
        return
    if server.rebalanced_until_us > state.now_us or load.load_of(state, server) <= load.OVERLOAD_THRESHOLD:
        return
    server.rebalanced_until_us = state.now_us + REBALANCE_INTERVAL_US
    state.load_check_interval_us = LOAD_CHECK_INTERVAL_US
    if load.load_of(state, server) >= load.UNREACHABLE_LOAD:
        state.set_timer(REBALANCE_INTERVAL_US // 2, TimerKind.REBALANCE, connection.id)
        return
    rebalance(state, connection)
    connections = state.connections_at(server)
    if load.load_of(state, server) > load.SEVERE_OVERLOAD_THRESHOLD and connections:
        state.set_timer(REBALANCE_INTERVAL_US, TimerKind.REPEATED_LOAD_CHECK, connections[0].id)


def rebalance(state: BalancerState, connection: Connection) -> None:
    """Move the share of its connections that is too much for a server, all if it is unreachable."""
    server = connection.server
    server_load = max(load.load_of(state, server), server.least_load) if server else 0.0
    excess = server_load - load.OVERLOAD_THRESHOLD
    for held in state.connections_at(server):
        if _is_settled(state, held) and state.random.random() * server_load < excess:
            state.migrate(held)


def _is_settled(state: BalancerState, connection: Connection) -> bool:
    """A wave of setups is work that is soon over, and in a report it looks like load."""
    age_us = state.now_us - connection.established_at_us
    return state.settings.reports_message_latency or age_us >= SETTLING_TIME_US
