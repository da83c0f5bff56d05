"""Finds the ready servers in a list of endpoints, and the sites that they serve. Pure: performs no I/O."""

from collections.abc import Iterable

from wheatstile import interface as api


def ready_names(endpoints: Iterable[api.Endpoint]) -> frozenset[str]:
    """Return the names of the servers that may receive new connections."""
    return frozenset(endpoint.name for endpoint in endpoints if endpoint.is_ready)


def served_sites(endpoints: Iterable[api.Endpoint]) -> tuple[str, ...]:
    """Return the sites that have a ready server, sorted by name. Servers without a site are ignored."""
    sites = {endpoint.zone for endpoint in endpoints if endpoint.is_ready}
    return tuple(sorted(sites - {""}))
