"""Merges discovery and the endpoint file into one list of servers, with a reason for each server.

Pure: the time is an argument, in microseconds. Two rules apply to every source. A server that discovery
reports as draining or gone receives no new connections. A server that is no longer listed because the source
has changed keeps its connections.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.resolvers.discovery_state import DiscoveryState
from wheatstile.resolvers.source_selection import US_PER_S, EndpointSource, SourceSelection

# Time for which a server that no source lists any more is kept for its connections.
RETIREMENT_US = 3600 * US_PER_S

FROM_DISCOVERY = "discovery"
FROM_FILE = "file"
FROM_FILE_DRAINED = "file; discovery reports it as draining"
DRAINED_BY_DISCOVERY = "discovery reports it as draining"


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """One server of the merged list, and the reason why it is listed."""

    resolved: ResolvedEndpoint
    reason: str  # printed by `wheatstile servers explain`
    retired_until_us: int = 0  # time at which a retired server is removed; 0: not retired

    @property
    def endpoint(self) -> api.Endpoint:
        """The server without its address."""
        return self.resolved.endpoint


@dataclass(frozen=True, slots=True)
class MergeResult:
    """A merged list, and its changes from the previous list."""

    selection: SourceSelection
    endpoints: dict[str, MergedEndpoint]  # keyed by name
    changes: list[ResolvedEndpoint]


@dataclass(frozen=True, slots=True)
class MergeInput:
    """The input of a merge."""

    now_us: int
    selection: SourceSelection
    discovery: DiscoveryState
    file_endpoints: Mapping[str, ResolvedEndpoint]  # never modified in place
    previous: dict[str, MergedEndpoint]

    def copy(self) -> "MergeInput":
        """Copy the fields that may be modified while the merge runs in another thread."""
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
    """Return the merged list, keyed by server name.

    A server of the previous list that no source lists any more is retired: it is listed as draining for
    RETIREMENT_US, unless discovery has reported it as gone.
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
    """Combine the entries for one server in the file and in discovery.

    The file sets the weight and the address. Either source can drain the server. The later start time is
    used, so that slow start applies even if one source has not reported the restart yet.
    """
    if from_discovery is None:
        return MergedEndpoint(from_file, FROM_FILE)
    file_endpoint = from_file.endpoint
    discovery_endpoint = from_discovery.endpoint
    is_drained = file_endpoint.is_ready and not discovery_endpoint.is_ready
    endpoint = replace(
        file_endpoint,
        state=discovery_endpoint.state if is_drained else file_endpoint.state,
        started_at_us=max(file_endpoint.started_at_us, discovery_endpoint.started_at_us),
        zone=file_endpoint.zone or discovery_endpoint.zone,
        cell=discovery_endpoint.cell,
    )
    resolved = ResolvedEndpoint(endpoint, from_file.address)
    return MergedEndpoint(resolved, FROM_FILE_DRAINED if is_drained else FROM_FILE)


def _retire(now_us: int, server: MergedEndpoint, source: EndpointSource) -> MergedEndpoint:
    """Return the server as retired. A server that is already retired is returned unchanged."""
    if server.retired_until_us:
        return server
    draining = replace(server.endpoint, state=api.EndpointState.DRAINING)
    return MergedEndpoint(
        ResolvedEndpoint(draining, server.resolved.address),
        f"no longer listed; the active source is {source}",
        now_us + RETIREMENT_US,
    )


def changed_endpoints(
    before: Mapping[str, MergedEndpoint], after: Mapping[str, MergedEndpoint]
) -> list[ResolvedEndpoint]:
    """Return the delta from one merged list to the next: the new, changed and gone servers."""
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
    """Return the changes to the listed servers that discovery reports as draining or gone."""
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
    """Return the servers of a merged list without their addresses."""
    return [server.endpoint for server in merged.values()]
