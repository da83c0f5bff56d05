"""Sets of IPv4 addresses, written as networks and ranges."""

from bisect import bisect_right
from collections.abc import Iterable

import netaddr

IPV4_VERSION = 4


class NetworkError(ValueError):
    """A text is neither an IPv4 network nor an IPv4 range."""


class Networks:
    """The union of networks (`10.0.0.0/8`) and ranges (`10.1.0.1-10.1.0.9`), with a fast membership test.

    Addresses are integers. The constructor raises NetworkError for a text of any other form.
    """

    def __init__(self, texts: Iterable[str]) -> None:
        address_set = netaddr.IPSet()
        for text in texts:
            addresses = _parse(text)
            if isinstance(addresses, netaddr.IPRange):
                address_set.update(addresses)
            else:
                address_set.add(addresses)
        # Bisection over sorted ranges is faster than the lookup of IPSet, which tries each prefix length.
        ranges = [(int(span.first), int(span.last)) for span in address_set.iter_ipranges()]
        self._first_addresses = [first for first, _ in ranges]
        self._last_addresses = [last for _, last in ranges]

    def __contains__(self, address: int) -> bool:
        index = bisect_right(self._first_addresses, address) - 1
        return index >= 0 and address <= self._last_addresses[index]


def _parse(text: str) -> netaddr.IPRange | netaddr.IPNetwork:
    try:
        first, dash, last = text.partition("-")
        addresses = netaddr.IPRange(first.strip(), last.strip()) if dash else netaddr.IPNetwork(text)
    except (netaddr.AddrFormatError, ValueError):
        raise NetworkError(
            f'"{text}" is neither a network (10.0.0.0/8) nor a range (10.1.0.1-10.1.0.9)'
        ) from None
    if addresses.version != IPV4_VERSION:
        raise NetworkError(f'"{text}" is not IPv4, the only supported version')
    return addresses
