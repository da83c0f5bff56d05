"""The state of one server: its endpoint, its load, its ejection and its slow start."""

from dataclasses import replace

from wheatstile import interface as api
from wheatstile.decisions.outlier_ejection import OutlierEjection
from wheatstile.decisions.server_load import ServerLoad
from wheatstile.decisions.slow_start_budget import SlowStartBudget


class Server:
    """One server, as this balancer knows it. Only the methods of this class modify the endpoint."""

    __slots__ = ("ejection", "endpoint", "load", "name_hash", "slow_start")

    def __init__(self, endpoint: api.Endpoint, name_hash: int) -> None:
        self.endpoint = endpoint
        self.name_hash = name_hash
        self.load = ServerLoad()
        self.ejection = OutlierEjection()
        self.slow_start = SlowStartBudget()

    def update_endpoint(self, endpoint: api.Endpoint) -> bool:
        """Record the endpoint that discovery lists now. Return whether the server's process has restarted."""
        has_restarted = self.endpoint.started_at_us != endpoint.started_at_us
        self.endpoint = endpoint
        return has_restarted

    def mark_gone(self) -> None:
        """Record that discovery no longer lists the server."""
        self.endpoint = replace(self.endpoint, state=api.EndpointState.GONE)
