"""A file of servers, from bytes to a document or to all its faults. Pure: no input or output, no clock."""

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
from wheatstile.config.faults import Fault, Refused, load, locate, pointer
from wheatstile.config.members import Named
from wheatstile.config.networks import Networks
from wheatstile.config.operator import Servers

SEAL = "xxh3-128:"
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

    servers: Mapping[str, Named]
    sites: tuple[str, ...] | None
    generation: int | None
    digest: str  # of the canonical form without the seal, as a seal writes it
    sealed: bool

    def ready(self) -> set[str]:
        return {name for name, named in self.servers.items() if named.entry.state == "ready"}


def digest_of(value: Mapping[str, Any]) -> str:
    """The digest that a seal names: XXH3-128 of the rest of the document in canonical JSON (RFC 8785).

    It tells whole from damaged. It keeps nobody out who can write the file: it is no signature.
    """
    rest = {key: element for key, element in value.items() if key != "seal"}
    return SEAL + xxhash.xxh3_128_hexdigest(rfc8785.dumps(rest))


def read(file: str, data: bytes, rules: Rules, check_seal: bool = True) -> Document:
    """The document in these bytes. Raises Refused with every fault and its place; file is for the places.

    check_seal: not where the document is about to be sealed anew, or stands inside a sealed one.
    """
    text, value = load(file, data, rules.most_bytes)
    if not isinstance(value, dict):
        raise Refused(file, [Fault("", "is no object", 1)])
    found = list(shape.faults(value, Head))
    rows = value.get("servers")
    if isinstance(rows, list) and len(rows) > rules.most:
        found.append(Fault("/servers", f"{len(rows)} servers; {rules.most} at most (servers.most)"))
    elif isinstance(rows, list) and not rows:
        found.append(Fault("/servers", "an empty list would leave nobody to serve"))
    elif isinstance(rows, list):
        named, row_faults = _rows(rows, rules)
        found += row_faults
    if not found and check_seal:
        found += _seal_faults(value, rules)
    if not found:
        document = Document(
            named,
            None if value.get("sites") is None else tuple(value["sites"]),
            value.get("generation"),
            digest_of(value),
            value.get("seal") is not None,
        )
        if document.sites is None:
            return document
        found += site_faults(document, document.sites, rules, placed=True)
        if not found:
            return document
    placed = locate(text, found[:MOST_PLACED])
    raise Refused(file, placed + found[MOST_PLACED:])


def site_faults(
    document: Document, sites: tuple[str, ...], rules: Rules, placed: bool = False
) -> list[Fault]:
    """The sites that this document would leave with too few ready servers."""
    counts = dict.fromkeys(sites, 0)
    for named in document.servers.values():
        if named.entry.state == "ready" and named.entry.zone in counts:
            counts[named.entry.zone] += 1
    return [
        Fault(
            f"/sites/{sites.index(site)}" if placed else "/servers",
            f'site "{site}" would keep {count} ready servers; {rules.least_per_site} at least '
            "(servers.least_per_site; servers.may_be_empty names exceptions)",
        )
        for site, count in counts.items()
        if count < rules.least_per_site and site not in rules.may_be_empty
    ]


def _rows(rows: list[Any], rules: Rules) -> tuple[dict[str, Named], list[Fault]]:
    """Each row on its own and against the others. Raises nothing: every fault is returned."""
    named: dict[str, Named] = {}
    found: list[Fault] = []
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
            found += shape.faults(value, Row, ("servers", index))
            parts = value if isinstance(value, dict) else {}
            name, text, weight = (parts.get(key) for key in ("id", "address", "weight"))
        address = None
        if isinstance(name, str) and ids.setdefault(name, index) != index:
            reason = f'"{name}" is the id of /servers/{ids[name]} too'
            found.append(Fault(pointer("servers", index, "id"), reason))
        if isinstance(weight, float | int) and not 0 < weight < inf:
            found.append(Fault(pointer("servers", index, "weight"), f"{weight} is no finite number over 0"))
        elif isinstance(weight, float | int) and weight < 1e300:
            weights.append((weight, index))
        if isinstance(text, str):
            try:
                address = address_in(text, rules.networks)
                if places.setdefault(address, index) != index:
                    raise ValueError(f"{text} is the address of /servers/{places[address]} too")
            except ValueError as error:
                found.append(Fault(pointer("servers", index, "address"), str(error)))
        if row and address:
            entry = api.ListEntry(row.id, row.state, row.site, 0, row.weight, (row.started or 0) * 1000)
            named[row.id] = Named(entry, address)
    least = min((weight for weight, _ in weights), default=1.0)
    found += [
        Fault(
            pointer("servers", index, "weight"), f"{weight:g} is over {HEAVIEST:g} times the least, {least:g}"
        )
        for weight, index in weights
        if weight > HEAVIEST * least > 0
    ]
    return named, found


def address_in(text: str, networks: Networks) -> tuple[str, int]:
    """HOST:PORT with an IPv4 literal that lies in these networks. Raises ValueError with what is wrong."""
    host, colon, port = text.rpartition(":")
    parts = host.split(".")
    if host.startswith("["):
        raise ValueError(f'"{text}" is IPv6, which is not served')
    figures = len(parts) == 4 and all(part.isascii() and part.isdigit() and len(part) <= 3 for part in parts)
    plain = figures and all(int(part) < 256 and str(int(part)) == part for part in parts)
    if not colon or not plain or not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f'"{text}" is not HOST:PORT with an IPv4 literal as host')
    if not 0 < int(port) < 65536:
        raise ValueError(f'"{text}" has no port from 1 to 65535')
    number = int.from_bytes(bytes(int(part) for part in parts))
    if number not in networks:
        raise ValueError(f"{host} lies outside servers.networks")
    return host, int(port)


def _seal_faults(value: dict[str, Any], rules: Rules) -> Iterator[Fault]:
    seal = value.get("seal")
    if seal is None:
        if rules.require_seal:
            yield Fault(
                "/seal", "is missing, and servers.require_seal asks for one (wheatstile servers seal)"
            )
    elif not seal.startswith(SEAL):
        yield Fault("/seal", f'"{seal[:40]}" is no seal of the form {SEAL}...')
    elif seal != (digest := digest_of(value)):
        yield Fault("/seal", f"does not fit what the file says, which would be {digest}")
