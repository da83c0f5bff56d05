"""The servers of an endpoint file, row by row: endpoints, or every violation. Pure: no input or output."""

import re
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from wheatstile import interface as api
from wheatstile.config import shape
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.networks import Networks
from wheatstile.config.violations import Violation, pointer
from wheatstile.resolvers.canonical_json import MAX_EXACT_INTEGER, JsonValue

MAX_WEIGHT_RATIO = 1000.0  # between the largest weight and the smallest
MAX_PORT = 65535
MICROSECONDS_PER_MILLISECOND = 1000

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"  # no leading zeros, which some read as octal
_match_address = re.compile(rf"({_OCTET}\.{_OCTET}\.{_OCTET}\.{_OCTET}):([0-9]{{1,5}})").fullmatch

Address = tuple[str, int]  # host and port


class EndpointRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One server as the file states it; the fields are the file's keys."""

    id: Annotated[str, Meta(min_length=1, max_length=255)]
    address: str
    site: Annotated[str, Meta(max_length=255)] = ""
    weight: float = 1.0
    state: Literal["ready", "draining"] = "ready"
    started: Annotated[int, Meta(ge=0, le=1 << 53)] | None = None  # Unix time in milliseconds

    def resolve(self, address: Address) -> ResolvedEndpoint:
        """Return the endpoint that this row states, at its parsed address."""
        endpoint = api.Endpoint(
            name=self.id,
            state=api.EndpointState(self.state),
            zone=self.site,
            weight=self.weight,
            started_at_us=(self.started or 0) * MICROSECONDS_PER_MILLISECOND,
        )
        return ResolvedEndpoint(endpoint, address)


@dataclass(frozen=True, slots=True)
class ParsedRows:
    """All rows of a file. The endpoints are complete only if there are no violations."""

    endpoints: dict[str, ResolvedEndpoint]  # by name
    violations: list[Violation]


def parse_rows(rows: list[JsonValue], networks: Networks) -> ParsedRows:
    """Check each row on its own and against the others. Raises nothing."""
    parser = _RowParser(networks)
    for index, row in enumerate(rows):
        parser.add(index, row)
    return ParsedRows(parser.endpoints, [*parser.violations, *parser.weight_ratio_violations()])


def parse_address(text: str, networks: Networks) -> Address:
    """Parse HOST:PORT with an IPv4 literal in these networks. Raises ValueError with the reason."""
    match = _match_address(text)
    if match is None:
        if text.startswith("["):
            raise ValueError(f'"{text}" is IPv6, which is not served')
        raise ValueError(f'"{text}" is not HOST:PORT with an IPv4 literal as host')
    host, *octets, port_text = match.groups()
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'"{text}" has no port from 1 to {MAX_PORT}')
    if int.from_bytes(map(int, octets), "big") not in networks:
        raise ValueError(f"{host} lies outside servers.networks")
    return host, port


class _RowParser:
    """Takes the rows one by one and compares each with those before it."""

    def __init__(self, networks: Networks) -> None:
        self.endpoints: dict[str, ResolvedEndpoint] = {}
        self.violations: list[Violation] = []
        self._networks = networks
        self._index_by_id: dict[str, int] = {}
        self._index_by_address: dict[Address, int] = {}
        self._weights: list[tuple[float, int]] = []  # with the index of their row

    def add(self, index: int, value: JsonValue) -> None:
        """Check the next row: its endpoint is kept, or its violations are."""
        try:
            row = msgspec.convert(value, EndpointRow)
        except msgspec.ValidationError:
            self._add_invalid(index, value)
            return
        self._check_id(index, row.id)
        self._check_weight(index, row.weight)
        self._check_integers(index, value)
        address = self._check_address(index, row.address)
        if address:
            self.endpoints[row.id] = row.resolve(address)

    def _add_invalid(self, index: int, value: JsonValue) -> None:
        """Report what is wrong with the row's form, and with those values that have the right type."""
        self.violations += shape.find_violations(value, EndpointRow, ("servers", index))
        if not isinstance(value, dict):
            return
        name = value.get("id")
        if isinstance(name, str):
            self._check_id(index, name)
        weight = value.get("weight")
        if isinstance(weight, float | int):
            self._check_weight(index, weight)
        address = value.get("address")
        if isinstance(address, str):
            self._check_address(index, address)

    def _report(self, index: int, key: str, reason: str) -> None:
        self.violations.append(Violation(pointer("servers", index, key), reason))

    def _check_id(self, index: int, name: str) -> None:
        first_index = self._index_by_id.setdefault(name, index)
        if first_index != index:
            self._report(index, "id", f'"{name}" is the id of /servers/{first_index} too')

    def _check_weight(self, index: int, weight: float) -> None:
        if not 0 < weight < inf:
            self._report(index, "weight", f"{weight} is no finite number over 0")
        elif weight <= sys.float_info.max:  # an integer may be larger, where the row's form is wrong anyhow
            self._weights.append((float(weight), index))

    def _check_integers(self, index: int, row: JsonValue) -> None:
        """Report integers that have no canonical form, so that the file could not be sealed."""
        members = row.items() if isinstance(row, dict) else ()
        for key, value in members:
            if isinstance(value, int) and abs(value) > MAX_EXACT_INTEGER:
                self._report(index, key, f"{value} is over {MAX_EXACT_INTEGER}, the largest exact integer")

    def _check_address(self, index: int, text: str) -> Address | None:
        try:
            address = parse_address(text, self._networks)
        except ValueError as error:
            self._report(index, "address", str(error))
            return None
        first_index = self._index_by_address.setdefault(address, index)
        if first_index != index:
            self._report(index, "address", f"{text} is the address of /servers/{first_index} too")
        return address

    def weight_ratio_violations(self) -> Iterator[Violation]:
        """Find the weights that are too large beside the smallest one."""
        smallest = min((weight for weight, _ in self._weights), default=1.0)
        for weight, index in self._weights:
            if weight > MAX_WEIGHT_RATIO * smallest > 0:
                reason = f"{weight:g} is over {MAX_WEIGHT_RATIO:g} times the least, {smallest:g}"
                yield Violation(pointer("servers", index, "weight"), reason)
