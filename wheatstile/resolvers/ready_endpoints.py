"""Which of some endpoints are ready, and which sites they serve. Pure: no input or output."""

from collections.abc import Iterable

from wheatstile import interface as api


def ready_names(endpoints: Iterable[api.Endpoint]) -> frozenset[str]:
    """Return the names of the servers that may get new connections."""
    return frozenset(endpoint.name for endpoint in endpoints if endpoint.is_ready)


def served_sites(endpoints: Iterable[api.Endpoint]) -> tuple[str, ...]:
    """Return the sites that have a ready server, sorted by name. A server without a site is left out."""
    sites = {endpoint.zone for endpoint in endpoints if endpoint.is_ready}
    return tuple(sorted(sites - {""}))
