"""Merges discovery and the endpoint file into the list of servers in force, with a reason for each server.

Pure: the time is an argument, in microseconds. Two rules apply with every source: a server that discovery
reports draining or gone gets no new connections; and a server that is no longer listed because the source
changed keeps its connections.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.resolvers.discovery_state import DiscoveryState
from wheatstile.resolvers.source_selection import MICROSECONDS_PER_SECOND, EndpointSource, SourceSelection

# How long a server that no source lists any more stays reachable for its connections.
RETIREMENT_US = 3600 * MICROSECONDS_PER_SECOND

FROM_DISCOVERY = "discovery"
FROM_FILE = "file"
FROM_FILE_DRAINED = "file; discovery tells it to drain"
DRAINED_BY_DISCOVERY = "discovery tells it to drain"


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """One server in force, and the reason why it is listed."""

    resolved: ResolvedEndpoint
    reason: str  # printed by `wheatstile servers explain`
    retired_until_us: int = 0  # when a retired server is removed; 0: a source lists the server

    @property
    def endpoint(self) -> api.Endpoint:
        """The server without its address."""
        return self.resolved.endpoint


@dataclass(frozen=True, slots=True)
class MergeResult:
    """A merged list, and its differences from the previous one."""

    selection: SourceSelection
    endpoints: dict[str, MergedEndpoint]  # keyed by name
    changes: list[ResolvedEndpoint]


@dataclass(frozen=True, slots=True)
class MergeInput:
    """Everything that a merge depends on."""

    now_us: int
    selection: SourceSelection
    discovery: DiscoveryState
    file_endpoints: Mapping[str, ResolvedEndpoint]  # never changed in place
    previous: dict[str, MergedEndpoint]

    def copy(self) -> "MergeInput":
        """Copy what may change while the merge runs in another thread."""
        return replace(self, discovery=self.discovery.copy(), previous=dict(self.previous))

    def run(self) -> MergeResult:
        """Merge, and compare the result with the previous list."""
        endpoints = merge_endpoints(
            self.now_us, self.selection, self.discovery, self.file_endpoints, self.previous
        )
        return MergeResult(self.selection, endpoints, changed_endpoints(self.previous, endpoints))


def merge_endpoints(
    now_us: int,
    selection: SourceSelection,
    discovery: DiscoveryState,
    file_endpoints: Mapping[str, ResolvedEndpoint],
    previous: Mapping[str, MergedEndpoint],
) -> dict[str, MergedEndpoint]:
    """Return the servers in force, by name.

    A server of the previous result that no source lists any more is retired: it is listed as draining for
    RETIREMENT_US, unless discovery has reported it gone.
    """
    merged: dict[str, MergedEndpoint] = {}
    if selection.source is not EndpointSource.FILE:
        for name, resolved in discovery.endpoints.items():
            merged[name] = MergedEndpoint(resolved, FROM_DISCOVERY)
    if selection.source is not EndpointSource.DISCOVERY:
        for name, resolved in file_endpoints.items():
            if name not in discovery.gone:
                merged[name] = _merge_file_endpoint(resolved, discovery.endpoints.get(name))
    for name, server in previous.items():
        if name in merged or name in discovery.gone:
            continue
        retired = _retire(now_us, server, selection.source)
        if now_us < retired.retired_until_us:
            merged[name] = retired
    return merged


def _merge_file_endpoint(
    from_file: ResolvedEndpoint, from_discovery: ResolvedEndpoint | None
) -> MergedEndpoint:
    """Combine the file's entry of a server with discovery's.

    The file sets the weight and the address. Either source can drain the server. The later start time is
    used, so that slow start applies if one source has not reported the restart yet.
    """
    if from_discovery is None:
        return MergedEndpoint(from_file, FROM_FILE)
    filed = from_file.endpoint
    reported = from_discovery.endpoint
    is_drained = filed.is_ready and not reported.is_ready
    endpoint = replace(
        filed,
        state=reported.state if is_drained else filed.state,
        started_at_us=max(filed.started_at_us, reported.started_at_us),
        zone=filed.zone or reported.zone,
        cell=reported.cell,
    )
    resolved = ResolvedEndpoint(endpoint, from_file.address)
    return MergedEndpoint(resolved, FROM_FILE_DRAINED if is_drained else FROM_FILE)


def _retire(now_us: int, server: MergedEndpoint, source: EndpointSource) -> MergedEndpoint:
    """Return the server as retired. One that is already retired is returned as it is."""
    if server.retired_until_us:
        return server
    draining = replace(server.endpoint, state=api.EndpointState.DRAINING)
    return MergedEndpoint(
        ResolvedEndpoint(draining, server.resolved.address),
        f"no longer listed; the source in force is {source}",
        now_us + RETIREMENT_US,
    )


def changed_endpoints(
    before: Mapping[str, MergedEndpoint], after: Mapping[str, MergedEndpoint]
) -> list[ResolvedEndpoint]:
    """Return the new, changed and gone servers: the delta from one merged list to the next."""
    changes = [
        server.resolved
        for name, server in after.items()
        if name not in before or before[name].resolved != server.resolved
    ]
    for name in before.keys() - after.keys():
        gone = replace(before[name].endpoint, state=api.EndpointState.GONE)
        changes.append(ResolvedEndpoint(gone, None))
    return changes


def withdrawn_endpoints(
    merged: Mapping[str, MergedEndpoint], unavailable: Iterable[ResolvedEndpoint]
) -> list[ResolvedEndpoint]:
    """Return the changes to the servers in force that discovery reports draining or gone."""
    withdrawn = []
    for reported in unavailable:
        server = merged.get(reported.endpoint.name)
        if server is None:
            continue
        is_gone = reported.endpoint.state == api.EndpointState.GONE
        if server.endpoint.is_ready or is_gone:
            changed = replace(server.endpoint, state=reported.endpoint.state)
            withdrawn.append(ResolvedEndpoint(changed, None if is_gone else server.resolved.address))
    return withdrawn


def listed_endpoints(merged: Mapping[str, MergedEndpoint]) -> list[api.Endpoint]:
    """Return the servers in force without their addresses."""
    return [server.endpoint for server in merged.values()]
