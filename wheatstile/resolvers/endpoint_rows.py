"""Parses the servers of an endpoint file, or reports every violation in them. Pure: performs no I/O."""

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
from wheatstile.config.endpoints import MAX_PORT, ResolvedEndpoint
from wheatstile.config.networks import Networks
from wheatstile.config.violations import Violation, json_pointer
from wheatstile.resolvers.canonical_json import MAX_EXACT_INTEGER, JsonValue

MAX_WEIGHT_RATIO = 1000.0  # maximum ratio of the largest to the smallest weight in a file
US_PER_MS = 1000
# Maps the values of `state` in the file to endpoint states.
ENDPOINT_STATES = {"ready": api.EndpointState.READY, "draining": api.EndpointState.DRAINING}

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"  # no leading zeros: some programs read them as octal
_match_address = re.compile(rf"({_OCTET}\.{_OCTET}\.{_OCTET}\.{_OCTET}):([0-9]{{1,5}})").fullmatch

Address = tuple[str, int]  # host and port


class InvalidAddressError(ValueError):
    """An address that a server must not have. The message is the reason."""


class EndpointRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One server in the file. The field names are the keys in the file."""

    id: Annotated[str, Meta(min_length=1, max_length=255)]
    address: str
    site: Annotated[str, Meta(max_length=255)] = ""
    weight: float = 1.0
    state: Literal["ready", "draining"] = "ready"
    started: Annotated[int, Meta(ge=0, le=1 << 53)] | None = None  # Unix time in milliseconds

    def resolve(self, address: Address) -> ResolvedEndpoint:
        """Return the endpoint of this row with its parsed address."""
        endpoint = api.Endpoint(
            name=self.id,
            state=ENDPOINT_STATES[self.state],
            zone=self.site,
            weight=self.weight,
            started_at_us=(self.started or 0) * US_PER_MS,
        )
        return ResolvedEndpoint(endpoint, address)


@dataclass(frozen=True, slots=True)
class ParsedRows:
    """The result for all rows of a file. The endpoints are complete only if there are no violations."""

    endpoints: dict[str, ResolvedEndpoint]  # keyed by name
    violations: list[Violation]


def parse_rows(rows: list[JsonValue], networks: Networks) -> ParsedRows:
    """Parse each row, and check it against the others. Does not raise: violations are part of the result."""
    parser = _RowParser(networks)
    for index, row in enumerate(rows):
        parser.add(index, row)
    return ParsedRows(parser.endpoints, [*parser.violations, *parser.weight_ratio_violations()])


def parse_address(text: str, networks: Networks) -> Address:
    """Parse HOST:PORT with an IPv4 address in one of the networks. Raises InvalidAddressError."""
    match = _match_address(text)
    if match is None:
        if text.startswith("["):
            raise InvalidAddressError(f'"{text}" is an IPv6 address; only IPv4 is supported')
        raise InvalidAddressError(f'"{text}" is not HOST:PORT with an IPv4 address as host')
    host, *octets, port_text = match.groups()
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise InvalidAddressError(f'"{text}" has no port from 1 to {MAX_PORT}')
    if int.from_bytes(map(int, octets), "big") not in networks:
        raise InvalidAddressError(f"{host} is outside servers.networks")
    return host, port


class _RowParser:
    """Parses the rows one by one, and compares each row with the rows before it."""

    def __init__(self, networks: Networks) -> None:
        self.endpoints: dict[str, ResolvedEndpoint] = {}
        self.violations: list[Violation] = []
        self._networks = networks
        self._index_by_id: dict[str, int] = {}
        self._index_by_address: dict[Address, int] = {}
        self._weight_by_index: dict[int, float] = {}

    def add(self, index: int, value: JsonValue) -> None:
        """Parse the next row. Add its endpoint or its violations to the result."""
        try:
            row = msgspec.convert(value, EndpointRow)
        except msgspec.ValidationError:
            self._add_malformed(index, value)
            return
        self._check_id(index, row.id)
        self._check_weight(index, row.weight)
        self._check_integers(index, value)
        address = self._check_address(index, row.address)
        if address:
            self.endpoints[row.id] = row.resolve(address)

    def weight_ratio_violations(self) -> Iterator[Violation]:
        """Yield a violation for each weight that is too large relative to the smallest weight."""
        smallest = min(self._weight_by_index.values(), default=1.0)
        for index, weight in self._weight_by_index.items():
            if weight > MAX_WEIGHT_RATIO * smallest > 0:
                reason = f"{weight:g} is over {MAX_WEIGHT_RATIO:g} times the smallest weight, {smallest:g}"
                yield Violation(json_pointer("servers", index, "weight"), reason)

    def _add_malformed(self, index: int, value: JsonValue) -> None:
        """Report the violations of the schema, and check the values that have the right type."""
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
        self.violations.append(Violation(json_pointer("servers", index, key), reason))

    def _check_id(self, index: int, name: str) -> None:
        first_index = self._index_by_id.setdefault(name, index)
        if first_index != index:
            self._report(index, "id", f'"{name}" is already the id of /servers/{first_index}')

    def _check_weight(self, index: int, weight: float) -> None:
        if not 0 < weight < inf:
            self._report(index, "weight", f"{weight} is not a finite number over 0")
        elif weight <= sys.float_info.max:  # a larger integer is reported as a type error
            self._weight_by_index[index] = float(weight)

    def _check_integers(self, index: int, row: JsonValue) -> None:
        """Report integers that have no canonical form: a file that contains one cannot be sealed."""
        members = row.items() if isinstance(row, dict) else ()
        for key, value in members:
            if isinstance(value, int) and abs(value) > MAX_EXACT_INTEGER:
                self._report(index, key, f"{value} is over {MAX_EXACT_INTEGER}, the largest exact integer")

    def _check_address(self, index: int, text: str) -> Address | None:
        """Return the parsed address. Report an invalid address, and return None."""
        try:
            address = parse_address(text, self._networks)
        except InvalidAddressError as error:
            self._report(index, "address", str(error))
            return None
        first_index = self._index_by_address.setdefault(address, index)
        if first_index != index:
            self._report(index, "address", f"{text} is already the address of /servers/{first_index}")
        return address
