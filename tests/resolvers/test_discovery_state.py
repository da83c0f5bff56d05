"""Tests for the servers that discovery has reported, and for the times of its reports."""

import pytest
from support.merge_scenario import resolved_endpoint

from wheatstile import interface as api
from wheatstile.resolvers import discovery_state
from wheatstile.resolvers.discovery_state import DiscoveryState

CACHED = api.EndpointUpdateKind.CACHED
FULL = api.EndpointUpdateKind.FULL
DELTA = api.EndpointUpdateKind.DELTA
DRAINING = api.EndpointState.DRAINING
GONE = api.EndpointState.GONE


@pytest.fixture
def discovery() -> DiscoveryState:
    """Return the state after discovery has reported the servers a and b at 1 us."""
    state = DiscoveryState(watch_started_at_us=0)
    state.apply_update(1, {name: resolved_endpoint(name) for name in "ab"}, FULL)
    return state


def test_server_missing_from_a_complete_list_is_gone(discovery: DiscoveryState) -> None:
    unavailable = discovery.apply_update(2, {"a": resolved_endpoint("a")}, FULL)

    assert [(resolved.endpoint.name, resolved.endpoint.state) for resolved in unavailable] == [("b", GONE)]
    assert list(discovery.endpoints) == ["a"]
    assert list(discovery.gone) == ["b"]


def test_draining_server_is_unavailable_and_still_listed(discovery: DiscoveryState) -> None:
    draining = resolved_endpoint("b", DRAINING)

    assert discovery.apply_update(2, {"b": draining}, DELTA) == [draining]
    assert list(discovery.endpoints) == ["a", "b"]


def test_gone_server_that_is_reported_again_is_listed(discovery: DiscoveryState) -> None:
    discovery.apply_update(2, {"b": resolved_endpoint("b", GONE)}, DELTA)
    assert list(discovery.gone) == ["b"]

    assert discovery.apply_update(3, {"b": resolved_endpoint("b")}, DELTA) == []
    assert list(discovery.endpoints) == ["a", "b"]
    assert not discovery.gone


def test_cached_list_does_not_count_as_a_report() -> None:
    discovery = DiscoveryState(watch_started_at_us=0)

    discovery.apply_update(1, {"a": resolved_endpoint("a")}, CACHED)

    assert list(discovery.endpoints) == ["a"]
    assert discovery.last_report_at_us is None
    assert discovery.reporting_since_us is None


def test_failed_watch_resets_the_time_of_the_first_report(discovery: DiscoveryState) -> None:
    discovery.record_report(2)
    assert (discovery.reporting_since_us, discovery.last_report_at_us) == (1, 2)

    discovery.record_failure()
    discovery.record_report(5)

    assert (discovery.reporting_since_us, discovery.last_report_at_us) == (5, 5)


def test_oldest_gone_servers_are_removed_beyond_the_limit(
    discovery: DiscoveryState, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery_state, "MAX_REMEMBERED_GONE", 2)

    for name in "cde":
        discovery.apply_update(2, {name: resolved_endpoint(name, GONE)}, DELTA)

    assert list(discovery.gone) == ["d", "e"]
