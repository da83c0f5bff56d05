"""The servers of one balancer, as listed by discovery."""

from zlib import crc32

from wheatstile import interface as api
from wheatstile.decisions.lookup_table import WeightedLookupTable
from wheatstile.decisions.server import Server
from wheatstile.decisions.server_load import ServerLoad


class EndpointTable:
    """Stores all servers that discovery has listed, the ready ones, and a lookup table of the ready ones."""

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}  # keyed by name
        self.ready_servers: list[Server] = []  # sorted by name
        self.ready_loads: list[ServerLoad] = []  # loads of the ready servers
        self.lookup_table: WeightedLookupTable[Server] = WeightedLookupTable([], [])

    def update(self, event: api.EndpointUpdate) -> list[Server]:
        """Apply an endpoint list, or changes to it. Return the servers that are new or have restarted."""
        started_servers = []
        for endpoint in event.endpoints:
            server, has_started = self._apply(endpoint)
            if has_started:
                started_servers.append(server)
        if event.kind != api.EndpointUpdateKind.DELTA:
            self._mark_absent_as_gone(event.endpoints)
        self.ready_servers = [
            server for _, server in sorted(self.servers.items()) if server.endpoint.is_ready
        ]
        self.ready_loads = [server.load for server in self.ready_servers]
        self.lookup_table = WeightedLookupTable(
            self.ready_servers, [server.endpoint.weight for server in self.ready_servers]
        )
        return started_servers

    def _apply(self, endpoint: api.Endpoint) -> tuple[Server, bool]:
        """Apply one endpoint. Return its server, and whether the server is new or has restarted."""
        server = self.servers.get(endpoint.name)
        if server is None:
            server = Server(endpoint, crc32(endpoint.name.encode()))
            self.servers[endpoint.name] = server
            return server, True
        return server, server.update_endpoint(endpoint)

    def _mark_absent_as_gone(self, listed: list[api.Endpoint]) -> None:
        for name in self.servers.keys() - {endpoint.name for endpoint in listed}:
            self.servers[name].mark_gone()
