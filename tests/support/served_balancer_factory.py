"""The fixture of tests of the running program with an endpoint file."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest

from support.served_balancer import ServedBalancer

MakeBalancer = Callable[..., ServedBalancer]


@pytest.fixture
def make_balancer() -> Iterator[MakeBalancer]:
    """Prepare balancers that end with the test: `known` servers, and changes to the `servers` section."""
    with ExitStack() as balancers:

        def make(known: tuple[str, ...] = ("s1", "s2"), **section: object) -> ServedBalancer:
            balancer = ServedBalancer(known, **section)
            balancers.callback(balancer.close)
            return balancer

        yield make
