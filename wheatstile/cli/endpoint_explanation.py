"""Which list of servers would hold, and why: the balancer's own decision, without a balancer."""

from collections.abc import Iterator
from pathlib import Path

import msgspec

from wheatstile import interface as api
from wheatstile.cli.endpoint_changes import ServerRow
from wheatstile.config.endpoints import EndpointSnapshot, ResolvedEndpoint
from wheatstile.config.operator import Servers
from wheatstile.config.violations import ConfigurationError, Violation, load
from wheatstile.resolvers import merge
from wheatstile.resolvers.document import Document
from wheatstile.resolvers.files import read_all
from wheatstile.resolvers.merge import SECOND, Choice, Discovery
from wheatstile.resolvers.source import policy_of

EXPLANATION_COLUMNS = ("server", "address", "site", "weight", "state", "reason")
SHOWN_VALUES = len(EXPLANATION_COLUMNS) - 2
"""How many values of a server's row stand between its name and the reason."""


class Explanation:
    """What holds for one file of servers and one answer of discovery, `silent_s` seconds after it."""

    def __init__(self, file: Document, discovery: Discovery, section: Servers, silent_s: float) -> None:
        self._file = file
        self._discovery = discovery
        now_us = int(silent_s * SECOND)
        self.choice: Choice = merge.choose(now_us, policy_of(section), discovery, True, None)
        self._lines = merge.merge(now_us, self.choice, discovery, file.servers, {})

    def rows(self) -> Iterator[list[str]]:
        """A row of EXPLANATION_COLUMNS for each server of the list, then those that discovery took away."""
        for name, line in sorted(self._lines.items()):
            values = msgspec.structs.astuple(ServerRow.from_endpoint(line.named))[:SHOWN_VALUES]
            yield [name, *map(str, values), line.reason]
        for name in self._discovery.gone:
            if name in self._file.servers:
                yield [name, "", "", "", api.EndpointState.GONE.value, "discovery tells it is gone"]


def read_discovery_answer(path: str, max_bytes: int) -> Discovery:
    """What discovery knows once it has answered with the JSON in this file. Raises ConfigurationError."""
    data = read_all(Path(path), max_bytes)
    _, value = load(path, data, max_bytes)
    try:
        snapshot = EndpointSnapshot.read(value)
    except (ValueError, KeyError, TypeError, OSError) as error:
        violation = Violation("", f"is not in discovery's form: {error!r}")
        raise ConfigurationError(path, [violation]) from None
    entries = {
        endpoint.name: ResolvedEndpoint(endpoint, snapshot.addresses[endpoint.name])
        for endpoint in snapshot.endpoints
    }
    discovery = Discovery.at(0)
    discovery.take(0, entries, api.EndpointUpdateKind.FULL)
    return discovery
