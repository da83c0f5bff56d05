"""Tests for the merged list: the values from each source, and invariants for random sequences of events."""

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st
from support.merge_scenario import SERVER_NAMES, MergeScenario, merge_policy, resolved_endpoint

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.resolvers import merge
from wheatstile.resolvers.merge import MergedEndpoint
from wheatstile.resolvers.source_selection import EndpointSource, MergeMode

READY = api.EndpointState.READY
DRAINING = api.EndpointState.DRAINING
GONE = api.EndpointState.GONE


def test_file_sets_weight_and_address_and_discovery_sets_drains_and_start_times() -> None:
    scenario = MergeScenario(merge_policy(MergeMode.MERGE))
    scenario.file_endpoints = {
        "a": resolved_endpoint("a", weight=5.0, address=("127.0.0.1", 1)),
        "b": resolved_endpoint("b"),
        "c": resolved_endpoint("c"),
    }
    update = {
        "a": resolved_endpoint("a", started_at_us=77),
        "b": resolved_endpoint("b", DRAINING),
        "d": resolved_endpoint("d"),
    }
    scenario.discovery.apply_update(scenario.now_us, update, api.EndpointUpdateKind.FULL)
    scenario.merge()

    assert scenario.merged["a"].resolved.endpoint == api.Endpoint("a", READY, "here", 0, 5.0, 77)
    assert scenario.merged["a"].resolved.address == ("127.0.0.1", 1)
    assert scenario.ready() == "acd"
    assert "drain" in scenario.merged["b"].reason


@dataclass(frozen=True)
class DiscoveryUpdates:
    kind: api.EndpointUpdateKind
    states: dict[str, api.EndpointState]


@dataclass(frozen=True)
class FileChanges:
    states: dict[str, api.EndpointState]


@dataclass(frozen=True)
class DiscoveryFails:
    pass


@dataclass(frozen=True)
class TimePasses:
    seconds: float
    discovery_reports: bool


Step = DiscoveryUpdates | FileChanges | DiscoveryFails | TimePasses

NAMES = st.sampled_from(SERVER_NAMES)
UPDATE_KINDS = st.sampled_from([api.EndpointUpdateKind.FULL, api.EndpointUpdateKind.DELTA])
STEPS: st.SearchStrategy[Step] = st.one_of(
    st.builds(
        DiscoveryUpdates,
        UPDATE_KINDS,
        st.dictionaries(NAMES, st.sampled_from([READY, READY, DRAINING, GONE])),
    ),
    st.builds(FileChanges, st.dictionaries(NAMES, st.sampled_from([READY, DRAINING]))),
    st.builds(DiscoveryFails),
    st.builds(TimePasses, st.sampled_from([0.5, 3, 12, 40]), st.booleans()),
)


class DecisionModuleView:
    """The decision module's list of servers, built only from the changes that it receives."""

    def __init__(self, merged: dict[str, MergedEndpoint]) -> None:
        self.endpoints = {name: endpoint.resolved for name, endpoint in merged.items()}

    def apply(self, changes: list[ResolvedEndpoint]) -> None:
        for resolved in changes:
            self.endpoints[resolved.endpoint.name] = resolved

    def ready(self) -> set[str]:
        return {name for name, resolved in self.endpoints.items() if resolved.endpoint.state == READY}

    def present(self) -> dict[str, ResolvedEndpoint]:
        return {
            name: resolved for name, resolved in self.endpoints.items() if resolved.endpoint.state != GONE
        }


def perform(scenario: MergeScenario, view: DecisionModuleView, step: Step) -> list[ResolvedEndpoint]:
    """Perform the step. Return the changes of merges during it, which the view has not received yet."""
    before = dict(scenario.merged)
    match step:
        case DiscoveryUpdates(kind, states):
            view.apply(scenario.update_discovery(kind, states))
        case FileChanges(states):
            scenario.file_endpoints = {
                name: resolved_endpoint(name, state, weight=2.0) for name, state in states.items()
            }
        case DiscoveryFails():
            scenario.discovery.record_failure()
        case TimePasses(seconds, discovery_reports):
            scenario.advance(seconds, discovery_reports)
            return merge.changed_endpoints(before, scenario.merged)
    return []


def check_unavailable_servers_are_not_ready(scenario: MergeScenario, view: DecisionModuleView) -> None:
    """Check that no server is ready that discovery last reported as draining or gone."""
    assert not view.ready() & scenario.unavailable


def check_merged_list(scenario: MergeScenario, view: DecisionModuleView) -> None:
    """Check the merged list after its changes have been sent."""
    assert not set(scenario.ready()) & scenario.unavailable
    # The changes that the decision module has received result in the merged list.
    merged = {name: endpoint.resolved for name, endpoint in scenario.merged.items()}
    assert view.present() == merged
    assert all(endpoint.reason for endpoint in scenario.merged.values())


def check_selection(scenario: MergeScenario, mode: MergeMode) -> None:
    """Check the active source in the override and merge modes, where it does not depend on discovery."""
    assert scenario.selection
    assert scenario.selection.reason
    if scenario.file_endpoints and mode is not MergeMode.FALLBACK:
        expected = EndpointSource.FILE if mode is MergeMode.OVERRIDE else EndpointSource.BOTH
        assert scenario.selection.source is expected


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(MergeMode), st.lists(STEPS, max_size=25))
def test_invariants_hold_after_every_step(mode: MergeMode, steps: list[Step]) -> None:
    scenario = MergeScenario(merge_policy(mode), cached="ab")
    view = DecisionModuleView(scenario.merged)
    for step in steps:
        before = dict(scenario.merged)
        changes = perform(scenario, view, step)
        check_unavailable_servers_are_not_ready(scenario, view)
        view.apply(changes)
        view.apply(scenario.merge())
        check_merged_list(scenario, view)
        check_selection(scenario, mode)
        # A change of the source removes no server. Only discovery removes servers.
        assert all(name in scenario.merged or name in scenario.discovery.gone for name in before)
