"""Endpoint lists in the JSON format of discovery: entries, addresses and weights."""

import pytest

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot, parse_host_port, parse_weight


def test_endpoint_list_is_read_with_the_address_of_each_endpoint_that_is_not_gone() -> None:
    full = {
        "id": "s1",
        "phase": "ready",
        "host_port": "10.0.0.1:90",
        "locality": "here",
        "cell": 4,
        "size": "2.5",
        "up_since_ms": 7,
    }
    members = [full, {"id": 2, "phase": "gone"}, {"id": "s3", "phase": "odd", "host_port": "10.0.0.3:90"}]

    snapshot = EndpointSnapshot.read({"revision": "5", "complete": 1, "members": members})

    assert (snapshot.revision, snapshot.complete) == (5, True)
    assert snapshot.endpoints == [
        api.Endpoint("s1", api.EndpointState.READY, "here", 4, 2.5, 7000),
        api.Endpoint("2", api.EndpointState.GONE, "", 0, 1.0, 0),
        api.Endpoint("s3", api.EndpointState.DRAINING, "", 0, 1.0, 0),  # unknown state
    ]
    addresses = [member.address for member in snapshot.members]
    assert addresses == [("10.0.0.1", 90), None, ("10.0.0.3", 90)]


@pytest.mark.parametrize("text", ["", "80", ":80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:x"])
def test_text_that_is_not_an_address_with_a_port_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match=r"HOST:PORT|invalid literal"):
        parse_host_port(text)


def test_host_must_be_an_ipv4_address() -> None:
    assert parse_host_port("127.0.0.1:65535") == ("127.0.0.1", 65535)
    with pytest.raises(OSError, match="illegal IP address"):
        parse_host_port("localhost:80")


@pytest.mark.parametrize(
    ("value", "weight"), [(2.5, 2.5), ("3", 3.0), (0, 1.0), (-1, 1.0), ("inf", 1.0), ("nan", 1.0)]
)
def test_weight_that_is_not_positive_and_finite_counts_as_1(value: float | str, weight: float) -> None:
    assert parse_weight(value) == weight
