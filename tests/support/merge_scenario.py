"""Runs source selection and merging with a simulated clock, discovery and endpoint file."""

from typing import Any

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.resolvers import merge
from wheatstile.resolvers.discovery_state import DiscoveryState
from wheatstile.resolvers.merge import MergedEndpoint
from wheatstile.resolvers.ready_endpoints import ready_names
from wheatstile.resolvers.source_selection import (
    US_PER_S,
    EndpointSource,
    MergeMode,
    MergePolicy,
    SourceSelection,
    select_source,
)

SERVER_NAMES = "abcde"
DISCOVERY_TIMEOUT_S = 10


def resolved_endpoint(
    name: str, state: api.EndpointState = api.EndpointState.READY, **changes: Any
) -> ResolvedEndpoint:
    """Return a server in site "here" with a unique port, or without an address if the server is gone."""
    default_address = None if state == api.EndpointState.GONE else ("127.0.0.1", 9000 + ord(name))
    address = changes.pop("address", default_address)
    return ResolvedEndpoint(api.Endpoint(name, state, "here", **changes), address)


def merge_policy(mode: MergeMode = MergeMode.FALLBACK, recovery_delay_s: int = 30) -> MergePolicy:
    """Return a policy by which the file replaces discovery after DISCOVERY_TIMEOUT_S of silence."""
    return MergePolicy(mode, DISCOVERY_TIMEOUT_S * US_PER_S, recovery_delay_s * US_PER_S)


class MergeScenario:
    """The inputs and the result of a merge. `cached` names the servers that the platform's file lists."""

    def __init__(self, policy: MergePolicy, cached: str = "") -> None:
        self.now_us = 1000 * US_PER_S
        self.policy = policy
        self.discovery = DiscoveryState(self.now_us)
        self.file_endpoints: dict[str, ResolvedEndpoint] = {}
        self.merged: dict[str, MergedEndpoint] = {}
        self.selection: SourceSelection | None = None
        self.unavailable: set[str] = set()  # servers that discovery last reported draining or gone
        if cached:
            update = {name: resolved_endpoint(name) for name in cached}
            self.discovery.apply_update(self.now_us, update, api.EndpointUpdateKind.CACHED)
        self.merge()

    def merge(self) -> list[ResolvedEndpoint]:
        """Select the source, merge, and return the endpoints that changed."""
        self.selection = select_source(
            self.now_us, self.policy, self.discovery, bool(self.file_endpoints), self.selection
        )
        merged = merge.merge_endpoints(
            self.now_us, self.selection, self.discovery, self.file_endpoints, self.merged
        )
        changes = merge.changed_endpoints(self.merged, merged)
        self.merged = merged
        return changes

    def update_discovery(
        self, kind: api.EndpointUpdateKind, states: dict[str, api.EndpointState]
    ) -> list[ResolvedEndpoint]:
        """Record an update of discovery with these states. Return the servers to withdraw at once."""
        update = {name: resolved_endpoint(name, state) for name, state in states.items()}
        reported = self.discovery.apply_update(self.now_us, update, kind)
        reported_names = {resolved.endpoint.name for resolved in reported}
        for name in SERVER_NAMES:
            if states.get(name) == api.EndpointState.READY:
                self.unavailable.discard(name)
            elif name in states or (kind is api.EndpointUpdateKind.FULL and name in reported_names):
                self.unavailable.add(name)
        return merge.withdrawn_endpoints(self.merged, reported)

    def advance(self, seconds: float, discovery_reports: bool = True) -> EndpointSource:
        """Advance the clock, merge after each second, and return the source that is selected at the end."""
        end_us = self.now_us + int(seconds * US_PER_S)
        while self.now_us < end_us:
            self.now_us = min(end_us, self.now_us + US_PER_S)
            if discovery_reports:
                self.discovery.record_report(self.now_us)
            self.merge()
        assert self.selection
        return self.selection.source

    def ready(self) -> str:
        """Return the names of the ready servers in the merged list, sorted and joined."""
        return "".join(sorted(ready_names(merge.listed_endpoints(self.merged))))
