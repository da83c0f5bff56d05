"""The fixture `make_balancer`, for tests of a balancer with an endpoint file."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest

from support.served_balancer import ServedBalancer

MakeBalancer = Callable[..., ServedBalancer]


@pytest.fixture
def make_balancer() -> Iterator[MakeBalancer]:
    """Return a function that creates a ServedBalancer. All of them are closed at the end of the test."""
    with ExitStack() as balancers:

        def make(known: tuple[str, ...] = ("s1", "s2"), **section: object) -> ServedBalancer:
            balancer = ServedBalancer(known, **section)
            balancers.callback(balancer.close)
            return balancer

        yield make
