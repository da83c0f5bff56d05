"""Sets of IPv4 addresses, as an operator writes them."""

from bisect import bisect_right
from collections.abc import Iterable

import netaddr

IPV4 = 4


class NetworkError(ValueError):
    """A text that names no set of addresses."""


class Networks:
    """The union of networks (`10.0.0.0/8`) and ranges (`10.1.0.1-10.1.0.9`). Raises NetworkError."""

    def __init__(self, texts: Iterable[str]) -> None:
        address_set = netaddr.IPSet()
        for text in texts:
            addresses = _parse(text)
            if isinstance(addresses, netaddr.IPRange):
                address_set.update(addresses)
            else:
                address_set.add(addresses)
        # A look-up in an IPSet walks its networks by prefix; sorted ranges cost a bisection each.
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
        raise NetworkError(f'"{text}" is no network (10.0.0.0/8) or range (10.1.0.1-10.1.0.9)') from None
    if addresses.version != IPV4:
        raise NetworkError(f'"{text}" is not IPv4, which alone is served')
    return addresses
