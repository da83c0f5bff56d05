"""A file of servers, from bytes to a document or to all its faults. Pure: no input or output, no clock."""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import inf
from typing import Annotated, Any, Literal

import msgspec
import rfc8785
import xxhash
from msgspec import Meta

from wheatstile import interface as api
from wheatstile.config import shape
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.networks import Networks
from wheatstile.config.operator import Servers
from wheatstile.config.violations import ConfigurationError, Violation, load, locate, pointer

SEAL = "xxh3-128:"
_PLAIN = re.compile(r"[ !#-\[\]-~]*").fullmatch  # texts that every encoder writes alike
_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"  # no leading zeros, which some read as octal
_ADDRESS = re.compile(rf"({_OCTET}\.{_OCTET}\.{_OCTET}\.{_OCTET}):([0-9]{{1,5}})").fullmatch
HEAVIEST = 1000.0  # a weight is at most so many times the least
MOST_PLACED = 100  # faults that are worth their places: one cause may put a fault on every server


class Row(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One server as the file has it."""

    id: Annotated[str, Meta(min_length=1, max_length=255)]
    address: str
    site: Annotated[str, Meta(max_length=255)] = ""
    weight: float = 1.0
    state: Literal["ready", "draining"] = "ready"
    started: Annotated[int, Meta(ge=0, le=1 << 53)] | None = None  # Unix time in milliseconds


class Head(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The document but for its servers' rows, which are held against their type one by one."""

    servers: list[Any]
    sites: list[Annotated[str, Meta(min_length=1)]] | None = None
    generation: Annotated[int, Meta(ge=0, lt=1 << 53)] | None = None
    seal: str | None = None


@dataclass(frozen=True, slots=True)
class Rules:
    """What a document has to keep to, beside its form."""

    networks: Networks
    most: int
    most_bytes: int
    require_seal: bool
    least_per_site: int
    may_be_empty: frozenset[str]
    most_removed: float

    @classmethod
    def of(cls, servers: Servers) -> "Rules":
        return cls(
            Networks(servers.networks),
            servers.most,
            servers.most_bytes,
            servers.require_seal,
            servers.least_per_site,
            frozenset(servers.may_be_empty),
            servers.most_removed,
        )


@dataclass(frozen=True, slots=True)
class Document:
    """A whole file of servers that keeps to the rules."""

    servers: Mapping[str, ResolvedEndpoint]
    sites: tuple[str, ...] | None
    generation: int | None
    digest: str  # of the canonical form without the seal, as a seal writes it
    sealed: bool

    def ready(self) -> set[str]:
        return {
            name for name, named in self.servers.items() if named.endpoint.state == api.EndpointState.READY
        }


def canonical(value: Any) -> bytes:
    """Canonical JSON (RFC 8785). Raises rfc8785.CanonicalizationError.

    A list's plain objects, which are nearly all of a long document, go through a faster encoder that writes
    the same for them; whatever could be written in two ways goes through the library that knows the RFC.
    """
    if isinstance(value, dict):
        parts = [rfc8785.dumps(key) + b":" + canonical(value[key]) for key in sorted(value, key=_utf_16)]
        return b"{" + b",".join(parts) + b"}"
    if isinstance(value, list):
        return b"[" + b",".join([_plain(element) or canonical(element) for element in value]) + b"]"
    return rfc8785.dumps(value)


def _utf_16(text: str) -> bytes:
    return text.encode("utf-16-be")


def _plain(value: Any) -> bytes | None:
    """An object of plain texts and everyday numbers; None for all else."""
    if not isinstance(value, dict):
        return None
    flat = {}
    for key, element in value.items():
        if type(element) is float:
            if not 0.001 <= element <= 1e6:
                return None
            if element.is_integer():
                element = int(element)  # the RFC writes 1.0 as 1
        elif type(element) is str:
            if not _PLAIN(element):
                return None
        elif type(element) is not int or abs(element) >= 1 << 53:
            return None
        if not _PLAIN(key):
            return None
        flat[key] = element
    return msgspec.json.encode(flat, order="sorted")


def digest_of(value: Mapping[str, Any]) -> str:
    """The digest that a seal names: XXH3-128 of the rest of the document in canonical JSON.

    It tells whole from damaged. It keeps nobody out who can write the file: it is no signature.
    """
    rest = {key: element for key, element in value.items() if key != "seal"}
    return SEAL + xxhash.xxh3_128_hexdigest(canonical(rest))


def read(file: str, data: bytes, rules: Rules, check_seal: bool = True) -> Document:
    """The document in these bytes. Raises ConfigurationError with every violation; file is for their places.

    check_seal: not where the document is about to be sealed anew, or stands inside a sealed one.
    """
    text, value = load(file, data, rules.most_bytes)
    if not isinstance(value, dict):
        raise ConfigurationError(file, [Violation("", "is no object", 1)])
    found = list(shape.find_violations(value, Head))
    rows = value.get("servers")
    if isinstance(rows, list) and len(rows) > rules.most:
        found.append(Violation("/servers", f"{len(rows)} servers; {rules.most} at most (servers.most)"))
    elif isinstance(rows, list) and not rows:
        found.append(Violation("/servers", "an empty list would leave nobody to serve"))
    elif isinstance(rows, list):
        named, row_faults = _rows(rows, rules)
        found += row_faults
    digest = "" if found else digest_of(value)
    if not found and check_seal:
        found += _seal_faults(value, digest, rules)
    if not found:
        document = Document(
            named,
            None if value.get("sites") is None else tuple(value["sites"]),
            value.get("generation"),
            digest,
            value.get("seal") is not None,
        )
        if document.sites is None:
            return document
        found += site_faults(document, document.sites, rules, placed=True)
        if not found:
            return document
    placed = locate(text, found[:MOST_PLACED])
    raise ConfigurationError(file, placed + found[MOST_PLACED:])


def site_faults(
    document: Document, sites: tuple[str, ...], rules: Rules, placed: bool = False
) -> list[Violation]:
    """The sites that this document would leave with too few ready servers."""
    counts = dict.fromkeys(sites, 0)
    for named in document.servers.values():
        if named.endpoint.state == api.EndpointState.READY and named.endpoint.zone in counts:
            counts[named.endpoint.zone] += 1
    return [
        Violation(
            f"/sites/{sites.index(site)}" if placed else "/servers",
            f'site "{site}" would keep {count} ready servers; {rules.least_per_site} at least '
            "(servers.least_per_site; servers.may_be_empty names exceptions)",
        )
        for site, count in counts.items()
        if count < rules.least_per_site and site not in rules.may_be_empty
    ]


def _rows(rows: list[Any], rules: Rules) -> tuple[dict[str, ResolvedEndpoint], list[Violation]]:
    """Each row on its own and against the others. Raises nothing: every fault is returned."""
    named: dict[str, ResolvedEndpoint] = {}
    found: list[Violation] = []
    ids: dict[str, int] = {}
    places: dict[tuple[str, int], int] = {}
    weights: list[tuple[float, int]] = []
    for index, value in enumerate(rows):
        row: Row | None = None
        name: Any
        text: Any
        weight: Any
        try:
            row = msgspec.convert(value, Row)
            name, text, weight = row.id, row.address, row.weight
        except msgspec.ValidationError:
            found += shape.find_violations(value, Row, ("servers", index))
            parts = value if isinstance(value, dict) else {}
            name, text, weight = (parts.get(key) for key in ("id", "address", "weight"))
        address = None
        if isinstance(name, str) and ids.setdefault(name, index) != index:
            reason = f'"{name}" is the id of /servers/{ids[name]} too'
            found.append(Violation(pointer("servers", index, "id"), reason))
        if isinstance(weight, float | int) and not 0 < weight < inf:
            found.append(
                Violation(pointer("servers", index, "weight"), f"{weight} is no finite number over 0")
            )
        elif isinstance(weight, float | int) and weight < 1e300:
            weights.append((weight, index))
        if isinstance(text, str):
            try:
                address = address_in(text, rules.networks)
                if places.setdefault(address, index) != index:
                    raise ValueError(f"{text} is the address of /servers/{places[address]} too")
            except ValueError as error:
                found.append(Violation(pointer("servers", index, "address"), str(error)))
        if row and address:
            entry = api.Endpoint(
                row.id, api.EndpointState(row.state), row.site, 0, row.weight, (row.started or 0) * 1000
            )
            named[row.id] = ResolvedEndpoint(entry, address)
    least = min((weight for weight, _ in weights), default=1.0)
    found += [
        Violation(
            pointer("servers", index, "weight"), f"{weight:g} is over {HEAVIEST:g} times the least, {least:g}"
        )
        for weight, index in weights
        if weight > HEAVIEST * least > 0
    ]
    return named, found


def address_in(text: str, networks: Networks) -> tuple[str, int]:
    """HOST:PORT with an IPv4 literal that lies in these networks. Raises ValueError with what is wrong."""
    found = _ADDRESS(text)
    if found is None:
        if text.startswith("["):
            raise ValueError(f'"{text}" is IPv6, which is not served')
        raise ValueError(f'"{text}" is not HOST:PORT with an IPv4 literal as host')
    host, first, second, third, fourth, port = found.groups()
    if not 0 < int(port) < 65536:
        raise ValueError(f'"{text}" has no port from 1 to 65535')
    if int(first) << 24 | int(second) << 16 | int(third) << 8 | int(fourth) not in networks:
        raise ValueError(f"{host} lies outside servers.networks")
    return host, int(port)


def _seal_faults(value: dict[str, Any], digest: str, rules: Rules) -> Iterator[Violation]:
    seal = value.get("seal")
    if seal is None:
        if rules.require_seal:
            yield Violation(
                "/seal", "is missing, and servers.require_seal asks for one (wheatstile servers seal)"
            )
    elif not seal.startswith(SEAL):
        yield Violation("/seal", f'"{seal[:40]}" is no seal of the form {SEAL}...')
    elif seal != digest:
        yield Violation("/seal", f"does not fit what the file says, which would be {digest}")
