"""Fixtures for tests of the running program with an endpoint file."""

from collections.abc import Callable, Iterator

import pytest

from support.served_balancer import ServedBalancer

MakeBalancer = Callable[..., ServedBalancer]


@pytest.fixture
def make_balancer() -> Iterator[MakeBalancer]:
    """Prepare balancers that end with the test: `known` servers, and changes to the `servers` section."""
    balancers: list[ServedBalancer] = []

    def make(known: tuple[str, ...] = ("s1", "s2"), **section: object) -> ServedBalancer:
        balancer = ServedBalancer(known, section)
        balancers.append(balancer)
        balancer.setUp()
        return balancer

    yield make
    for balancer in balancers:
        # The types say that it returns None; it returns whether all has been ended.
        assert balancer.doCleanups(), "not all has been ended"  # type: ignore[func-returns-value]
