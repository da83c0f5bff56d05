"""Computes the endpoint list that a balancer would use, with the balancer's own functions."""

from collections.abc import Iterator
from pathlib import Path

import msgspec

from wheatstile import interface as api
from wheatstile.cli.endpoint_changes import ServerRow
from wheatstile.config.endpoints import EndpointSnapshot, ResolvedEndpoint
from wheatstile.config.operator import Servers
from wheatstile.config.violations import ConfigurationError, Violation, load_json
from wheatstile.resolvers.discovery_state import DiscoveryState
from wheatstile.resolvers.endpoint_file import EndpointFile
from wheatstile.resolvers.merge import merge_endpoints
from wheatstile.resolvers.regular_file import read_regular_file
from wheatstile.resolvers.source_selection import US_PER_S, MergePolicy, select_source

EXPLANATION_COLUMNS = ("server", "address", "site", "weight", "state", "reason")
SHOWN_VALUE_COUNT = len(EXPLANATION_COLUMNS) - 2
"""Number of columns between the server's name and the reason."""


class Explanation:
    """The endpoint list that results from an endpoint file and an answer from discovery.

    Discovery has been silent for `silent_s` seconds since that answer.
    """

    def __init__(
        self, file: EndpointFile, discovery: DiscoveryState, section: Servers, silent_s: float
    ) -> None:
        self._file = file
        self._discovery = discovery
        now_us = int(silent_s * US_PER_S)
        policy = MergePolicy.from_settings(section)
        self.selection = select_source(now_us, policy, discovery, True, None)
        self._merged = merge_endpoints(now_us, self.selection, discovery, file.servers, {})

    def rows(self) -> Iterator[list[str]]:
        """Yield EXPLANATION_COLUMNS for each listed server, then for each that discovery reports as gone."""
        for name, merged in sorted(self._merged.items()):
            values = msgspec.structs.astuple(ServerRow.from_endpoint(merged.resolved))[:SHOWN_VALUE_COUNT]
            yield [name, *map(str, values), merged.reason]
        for name in self._discovery.gone:
            if name in self._file.servers:
                yield [name, "", "", "", api.EndpointState.GONE.value, "discovery reports it as gone"]


def read_discovery_answer(path: str, max_bytes: int) -> DiscoveryState:
    """Return the state of discovery after the answer in this file. Raises ConfigurationError."""
    data = read_regular_file(Path(path), max_bytes)
    _, value = load_json(path, data, max_bytes)
    try:
        snapshot = EndpointSnapshot.read(value)
    except (ValueError, KeyError, TypeError, OSError) as error:
        violation = Violation("", f"is not in discovery's JSON format: {error!r}")
        raise ConfigurationError(path, [violation]) from None
    entries = {
        endpoint.name: ResolvedEndpoint(endpoint, snapshot.addresses[endpoint.name])
        for endpoint in snapshot.endpoints
    }
    discovery = DiscoveryState(0)
    discovery.apply_update(0, entries, api.EndpointUpdateKind.FULL)
    return discovery
