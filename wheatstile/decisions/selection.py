"""Candidate selection: who is eligible for a connection, and who is drawn."""

from zlib import crc32

from wheatstile import interface as api
from wheatstile.decisions import slow_start
from wheatstile.decisions.load import UNREACHABLE_LOAD, load_of
from wheatstile.decisions.state import BalancerState, Connection, Server

DRAWS = 100  # from the lookup table, before the whole list is looked through
CROSS_ZONE_LOAD = 3.0  # load that a cost of 1 for crossing zones outweighs, between two candidates


def may_repeat_at(state: BalancerState, server: Server, connection: Connection) -> bool:
    """Rule 2: once an attempt may have run, another goes only where a repeat is harmless."""
    first = connection.first_forwarded
    service_class = connection.service_class
    if first is None or service_class.idempotency == api.Idempotency.IDEMPOTENT:
        return True
    if connection.is_past_repeat_window(state.now_us):
        return False
    return server.endpoint.shares_scope(first.server.endpoint, service_class.deduplication_scope)


def is_eligible(state: BalancerState, server: Server, connection: Connection | None) -> bool:
    """Whether a connection may go to this server; None: any connection."""
    if not server.endpoint.is_ready:
        return False
    if not slow_start.has_budget(state, server, bool(connection and connection.attempts)):
        return False
    return connection is None or may_repeat_at(state, server, connection)


def without_ejected(state: BalancerState, servers: list[Server]) -> list[Server]:
    """Those that are not ejected; all of them if no other is left."""
    return [server for server in servers if server.ejected_until_us <= state.now_us] or servers


def pick(
    state: BalancerState, connection: Connection | None, other: Server | None = None, in_zone: bool = False
) -> Server | None:
    """An eligible server drawn by weight, not the other one; an ejected one if no other is left.

    From the same hash every balancer draws the same servers, so that mid-flow packets find theirs.
    """
    seed = connection.placement_hash if connection else 0
    seed = seed or state.random.getrandbits(31)

    def is_passed_over(server: Server) -> bool:
        return server is other or server.ejected_until_us > state.now_us

    for server in state.table.walk(seed, DRAWS, is_passed_over):
        is_near = not in_zone or server.endpoint.zone == state.settings.zone
        if is_near and is_eligible(state, server, connection):
            return server
    found = [s for s in state.ready if s is not other and is_eligible(state, s, connection)]
    found = without_ejected(state, found)
    if not found:
        return None
    if state.table.has_equal_weights:
        return state.random.choice(found)
    return state.random.choices(found, [server.endpoint.weight for server in found])[0]


def select_candidates(state: BalancerState, connection: Connection) -> None:
    """Draw two candidates; the next two of an affinity group are the same at every balancer too."""
    first = pick(state, connection, in_zone=state.settings.cross_zone_cost > 0)
    second = pick(state, connection, first) if first else None
    connection.candidates = [server for server in (first, second) if server]
    connection.candidate_draws += 1
    if connection.placement_hash:
        connection.placement_hash = crc32(b"next", connection.placement_hash)


def least_loaded_candidate(state: BalancerState, connection: Connection) -> Server | None:
    """The better candidate of those that have answered; crossing zones costs as long as it lives."""
    found = [
        server
        for server in connection.candidates
        if not server.is_being_checked
        and load_of(state, server) < UNREACHABLE_LOAD
        and is_eligible(state, server, connection)
    ]
    crossing_load = CROSS_ZONE_LOAD * state.settings.cross_zone_cost

    def load_with_crossing(server: Server) -> float:
        return load_of(state, server) + crossing_load * (server.endpoint.zone != state.settings.zone)

    return min(without_ejected(state, found), key=load_with_crossing, default=None)
