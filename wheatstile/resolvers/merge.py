"""The servers in force, merged from discovery and the endpoint file, with a reason for each.

Pure: the time is an argument, in microseconds. Whichever source is in force, a server that discovery reported
draining or gone gets no new connections, and a server that is no longer named because the source changed
keeps the connections that it has.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.resolvers.discovery_state import DiscoveryState
from wheatstile.resolvers.source_selection import MICROSECONDS_PER_SECOND, EndpointSource, SourceSelection

# How long a server that left with its source stays reachable for the connections that it has.
RETIREMENT_US = 3600 * MICROSECONDS_PER_SECOND

FROM_DISCOVERY = "discovery"
FROM_FILE = "file"
FROM_FILE_DRAINED = "file; discovery tells it to drain"
DRAINED_BY_DISCOVERY = "discovery tells it to drain"


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """One server in force, and why it is listed as it is."""

    resolved: ResolvedEndpoint
    reason: str  # for `servers explain`
    retired_until_us: int = 0  # when it is dropped, as no source names it; 0: a source names it

    @property
    def is_ready(self) -> bool:
        """Whether it may get new connections."""
        return self.resolved.endpoint.state == api.EndpointState.READY


@dataclass(frozen=True, slots=True)
class MergeResult:
    """A merged list, and what differs from the one before."""

    selection: SourceSelection
    endpoints: dict[str, MergedEndpoint]  # by name
    changes: list[ResolvedEndpoint]


@dataclass(frozen=True, slots=True)
class MergeInput:
    """All that a merge depends on."""

    now_us: int
    selection: SourceSelection
    discovery: DiscoveryState
    file_endpoints: Mapping[str, ResolvedEndpoint]  # never changed in place
    previous: dict[str, MergedEndpoint]

    def copy(self) -> "MergeInput":
        """Copy what may change during a merge in another thread."""
        return replace(self, discovery=self.discovery.copy(), previous=dict(self.previous))

    def run(self) -> MergeResult:
        """Merge, and compare with the previous list."""
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

    Servers in `previous`, the last result, that no source names any more are retired: listed as draining for
    RETIREMENT_US, unless discovery reported them gone.
    """
    merged: dict[str, MergedEndpoint] = {}
    if selection.source is not EndpointSource.FILE:
        for name, resolved in discovery.endpoints.items():
            merged[name] = MergedEndpoint(resolved, FROM_DISCOVERY)
    if selection.source is not EndpointSource.DISCOVERY:
        for name, resolved in file_endpoints.items():
            if name not in discovery.gone:
                merged[name] = _merge_file_endpoint(resolved, discovery.endpoints.get(name))
    for name, endpoint in previous.items():
        if name in merged or name in discovery.gone:
            continue
        retired = _retire(now_us, endpoint, selection.source)
        if now_us < retired.retired_until_us:
            merged[name] = retired
    return merged


def _merge_file_endpoint(
    from_file: ResolvedEndpoint, from_discovery: ResolvedEndpoint | None
) -> MergedEndpoint:
    """Combine both: the file decides on weight and address, discovery on draining, the later start counts.

    A server that started within the slow-start time is protected whichever source reports the start.
    """
    if from_discovery is None:
        return MergedEndpoint(from_file, FROM_FILE)
    endpoint = from_file.endpoint
    reported = from_discovery.endpoint
    is_drained = endpoint.state == api.EndpointState.READY and reported.state != api.EndpointState.READY
    endpoint = replace(
        endpoint,
        state=reported.state if is_drained else endpoint.state,
        started_at_us=max(endpoint.started_at_us, reported.started_at_us),
        zone=endpoint.zone or reported.zone,
        cell=reported.cell,
    )
    resolved = ResolvedEndpoint(endpoint, from_file.address)
    return MergedEndpoint(resolved, FROM_FILE_DRAINED if is_drained else FROM_FILE)


def _retire(now_us: int, endpoint: MergedEndpoint, source: EndpointSource) -> MergedEndpoint:
    """Return the endpoint as draining; one that has been retired before stays as it is."""
    if endpoint.retired_until_us:
        return endpoint
    draining = replace(endpoint.resolved.endpoint, state=api.EndpointState.DRAINING)
    return MergedEndpoint(
        ResolvedEndpoint(draining, endpoint.resolved.address),
        f"no longer named; {source} holds",
        now_us + RETIREMENT_US,
    )


def changed_endpoints(
    before: Mapping[str, MergedEndpoint], after: Mapping[str, MergedEndpoint]
) -> list[ResolvedEndpoint]:
    """Return what differs between two merges, as a delta: new, changed and gone servers."""
    changes = [
        endpoint.resolved
        for name, endpoint in after.items()
        if name not in before or before[name].resolved != endpoint.resolved
    ]
    for name in before.keys() - after.keys():
        gone = replace(before[name].resolved.endpoint, state=api.EndpointState.GONE)
        changes.append(ResolvedEndpoint(gone, None))
    return changes


def withdrawn_endpoints(
    merged: Mapping[str, MergedEndpoint], unavailable: Iterable[ResolvedEndpoint]
) -> list[ResolvedEndpoint]:
    """Return the servers in force that must change at once: discovery reports them draining or gone."""
    withdrawn = []
    for reported in unavailable:
        endpoint = merged.get(reported.endpoint.name)
        if endpoint is None:
            continue
        is_gone = reported.endpoint.state == api.EndpointState.GONE
        if endpoint.is_ready or is_gone:
            changed = replace(endpoint.resolved.endpoint, state=reported.endpoint.state)
            withdrawn.append(ResolvedEndpoint(changed, None if is_gone else endpoint.resolved.address))
    return withdrawn


def ready_names(merged: Mapping[str, MergedEndpoint]) -> frozenset[str]:
    """Return the names of the servers that may get new connections."""
    return frozenset(name for name, endpoint in merged.items() if endpoint.is_ready)


def served_sites(merged: Mapping[str, MergedEndpoint]) -> tuple[str, ...]:
    """Return the sites with a ready server, sorted by name, without the empty name."""
    sites = {endpoint.resolved.endpoint.zone for endpoint in merged.values() if endpoint.is_ready}
    return tuple(sorted(sites - {""}))
