"""Sets of IPv4 addresses, written as networks and ranges."""

from ipaddress import IPv4Address

import pytest

from wheatstile.config.networks import NetworkError, Networks


@pytest.mark.parametrize(
    ("address", "is_member"),
    [
        ("10.0.0.0", True),
        ("10.255.255.255", True),
        ("11.0.0.0", False),
        ("9.255.255.255", False),
        ("192.168.0.4", False),
        ("192.168.0.5", True),
        ("192.168.0.9", True),
        ("192.168.0.10", False),
    ],
)
def test_union_contains_the_first_and_last_address_of_each_network_and_range(
    address: str, is_member: bool
) -> None:
    networks = Networks(["10.0.0.0/8", "192.168.0.5 - 192.168.0.9", "10.1.0.0/16"])
    assert (int(IPv4Address(address)) in networks) is is_member


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("10.0.0.0/33", "is neither a network"),
        ("10.0.0.9-10.0.0.1", "is neither a network"),
        ("here", "is neither a network"),
        ("::1/128", "is not IPv4"),
    ],
)
def test_text_of_another_form_is_rejected_with_an_error_that_names_it(text: str, reason: str) -> None:
    with pytest.raises(NetworkError, match=f'"{text}" {reason}'):
        Networks(["10.0.0.0/8", text])


def test_empty_list_contains_no_address() -> None:
    assert 0 not in Networks([])
