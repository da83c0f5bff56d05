"""Tests for the active source while discovery is silent, answers or flaps."""

from support.merge_scenario import MergeScenario, merge_policy, resolved_endpoint

from wheatstile import interface as api
from wheatstile.resolvers.source_selection import MAX_RECOVERY_FACTOR, EndpointSource


def test_file_is_active_while_discovery_is_silent() -> None:
    scenario = MergeScenario(merge_policy(), cached="ab")
    scenario.file_endpoints = {"c": resolved_endpoint("c")}

    assert scenario.advance(9, discovery_reports=False) == EndpointSource.DISCOVERY
    assert scenario.ready() == "ab"

    assert scenario.advance(2, discovery_reports=False) == EndpointSource.FILE
    assert scenario.ready() == "c"
    # The servers from discovery keep their connections.
    assert scenario.merged["a"].resolved.endpoint.state == api.EndpointState.DRAINING

    assert scenario.advance(1) == EndpointSource.DISCOVERY
    assert scenario.ready() == "ab"


def test_file_is_active_at_once_if_discovery_has_reported_nothing() -> None:
    scenario = MergeScenario(merge_policy())
    scenario.file_endpoints = {"c": resolved_endpoint("c")}

    assert scenario.advance(0.1, discovery_reports=False) == EndpointSource.FILE
    assert scenario.ready() == "c"


def test_flapping_discovery_must_answer_for_longer_each_time_up_to_a_maximum() -> None:
    scenario = MergeScenario(merge_policy(recovery_delay_s=2), cached="a")
    scenario.file_endpoints = {"b": resolved_endpoint("b")}
    recovery_times_s = []
    for _ in range(8):
        scenario.discovery.record_failure()
        assert scenario.advance(11, discovery_reports=False) == EndpointSource.FILE
        waited_s = 0
        while scenario.advance(1) == EndpointSource.FILE:
            waited_s += 1
        recovery_times_s.append(waited_s)

    assert recovery_times_s[:4] == [0, 2, 4, 8]
    assert max(recovery_times_s) <= 2 * MAX_RECOVERY_FACTOR
