"""Tests for the ready servers in a list, and the sites that they serve."""

from wheatstile import interface as api
from wheatstile.resolvers.ready_endpoints import ready_names, served_sites

ENDPOINTS = [
    api.Endpoint("a", api.EndpointState.READY, "south"),
    api.Endpoint("b", api.EndpointState.DRAINING, "west"),
    api.Endpoint("c", api.EndpointState.READY, "north"),
    api.Endpoint("d", api.EndpointState.READY),
]


def test_ready_names_contain_only_ready_servers() -> None:
    assert ready_names(ENDPOINTS) == {"a", "c", "d"}


def test_served_sites_are_sorted_and_have_a_ready_server() -> None:
    assert served_sites(ENDPOINTS) == ("north", "south")
