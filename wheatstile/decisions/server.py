"""The record of one server. Each of its parts is written by its own methods only."""

from wheatstile import interface as api
from wheatstile.decisions.outlier_ejection import OutlierEjection
from wheatstile.decisions.server_load import ServerLoad
from wheatstile.decisions.slow_start_budget import SlowStartBudget


class Server:
    """What this balancer knows of one server."""

    __slots__ = ("acceptance_ratio", "ejection", "endpoint", "load", "name_hash", "slow_start")

    def __init__(self, endpoint: api.Endpoint, name_hash: int) -> None:
        self.endpoint = endpoint  # set by EndpointTable
        self.name_hash = name_hash
        self.acceptance_ratio = 1.0  # set by WeightedLookupTable
        self.load = ServerLoad()
        self.ejection = OutlierEjection()
        self.slow_start = SlowStartBudget()
