"""Candidate selection: finds eligible servers, draws candidates, and chooses the better one of two."""

from wheatstile.decisions.connection import Connection
from wheatstile.decisions.endpoint_table import EndpointTable
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.fleet_load import FleetLoad
from wheatstile.decisions.health_checks import HealthChecks
from wheatstile.decisions.placement_hash import RANDOM_PLACEMENT
from wheatstile.decisions.retry_policy import RetryPolicy
from wheatstile.decisions.server import Server
from wheatstile.decisions.server_load import UNREACHABLE_LOAD
from wheatstile.decisions.slow_start import SlowStart

MAX_DRAWS = 100  # maximum draws from the lookup table, before all ready servers are searched
RANDOM_SEED_BITS = 31
CROSS_ZONE_LOAD = 3.0  # load added to a candidate in another zone if the cross-zone cost is 1


class CandidateSelector:
    """Draws servers, and chooses between two of them (power of two choices)."""

    def __init__(
        self,
        context: EventContext,
        endpoints: EndpointTable,
        fleet_load: FleetLoad,
        health_checks: HealthChecks,
        slow_start: SlowStart,
        retry_policy: RetryPolicy,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._fleet_load = fleet_load
        self._health_checks = health_checks
        self._slow_start = slow_start
        self._retry_policy = retry_policy

    def is_eligible(self, server: Server, connection: Connection | None) -> bool:
        """Return whether a connection may go to a server. A connection of None counts as without attempts."""
        if not server.endpoint.is_ready:
            return False
        if connection is None or connection.attempts == 0:
            return self._slow_start.permits(server, is_retry=False)
        is_permitted = self._slow_start.permits(server, is_retry=True)
        return is_permitted and self._retry_policy.may_attempt_at(server, connection)

    def is_available(self, server: Server, connection: Connection) -> bool:
        """Return whether a connection may go to this server and the server is not ejected."""
        return not server.ejection.is_active(self._context.now_us) and self.is_eligible(server, connection)

    def pick(self, connection: Connection | None, excluded: Server | None = None) -> Server | None:
        """Draw an eligible server by weight; an ejected one if no other is left, None if none is eligible.

        Every balancer draws the same servers for the same placement hash. For a connection of None, or one
        without a placement hash, the draw is random.
        """
        return self._pick(connection, excluded, local_zone_only=False)

    def pick_preferring_local_zone(self, connection: Connection) -> Server | None:
        """Draw an eligible server as `pick` does; prefer the local zone if a cross-zone cost is set."""
        return self._pick(connection, None, local_zone_only=self._context.settings.cross_zone_cost > 0)

    def draw_candidates(self, connection: Connection) -> list[Server]:
        """Draw up to two candidates for a connection."""
        first = self.pick_preferring_local_zone(connection)
        if first is None:
            return []
        second = self.pick(connection, excluded=first)
        return [first, second] if second else [first]

    def best_candidate(self, connection: Connection) -> Server | None:
        """Return the less loaded of the eligible candidates whose health checks have been answered."""
        eligible = [server for server in connection.candidates if self._is_usable(server, connection)]
        return min(self._without_ejected(eligible), key=self._load_with_cross_zone_cost, default=None)

    def _is_usable(self, candidate: Server, connection: Connection) -> bool:
        if self._health_checks.is_in_flight(candidate):
            return False
        is_reachable = self._fleet_load.load_of(candidate) < UNREACHABLE_LOAD
        return is_reachable and self.is_eligible(candidate, connection)

    def _load_with_cross_zone_cost(self, server: Server) -> float:
        """Return a server's load, increased by the cross-zone cost if it is in another zone."""
        load = self._fleet_load.load_of(server)
        settings = self._context.settings
        if server.endpoint.zone == settings.zone:
            return load
        return load + CROSS_ZONE_LOAD * settings.cross_zone_cost

    def _pick(
        self, connection: Connection | None, excluded: Server | None, local_zone_only: bool
    ) -> Server | None:
        seed = connection.placement_hash if connection else RANDOM_PLACEMENT
        if seed == RANDOM_PLACEMENT:
            seed = self._context.random.getrandbits(RANDOM_SEED_BITS)
        now_us = self._context.now_us

        def is_skipped(server: Server) -> bool:
            return server is excluded or server.ejection.until_us > now_us

        for server in self._endpoints.lookup_table.draw(seed, MAX_DRAWS, is_skipped):
            is_zone_allowed = not local_zone_only or server.endpoint.zone == self._context.settings.zone
            if is_zone_allowed and self.is_eligible(server, connection):
                return server
        return self._pick_from_all(connection, excluded)

    def _pick_from_all(self, connection: Connection | None, excluded: Server | None) -> Server | None:
        """Draw from all ready servers, by weight."""
        eligible = [
            server
            for server in self._endpoints.ready_servers
            if server is not excluded and self.is_eligible(server, connection)
        ]
        eligible = self._without_ejected(eligible)
        if not eligible:
            return None
        if self._endpoints.lookup_table.has_equal_weights:
            return self._context.random.choice(eligible)
        return self._context.random.choices(eligible, [server.endpoint.weight for server in eligible])[0]

    def _without_ejected(self, servers: list[Server]) -> list[Server]:
        """Return the servers that are not ejected; all of them if every one is ejected."""
        now_us = self._context.now_us
        return [server for server in servers if server.ejection.until_us <= now_us] or servers
