"""An endpoint file, parsed from bytes and checked; or every violation in it. Pure: no input or output."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from wheatstile import interface as api
from wheatstile.config import shape
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.networks import Networks
from wheatstile.config.operator import Servers
from wheatstile.config.violations import ConfigurationError, Violation, load, locate
from wheatstile.resolvers.canonical_json import DIGEST_PREFIX, SEAL_KEY, JsonValue, digest_of
from wheatstile.resolvers.endpoint_rows import ParsedRows, parse_rows

# Violations whose lines are looked up, which costs time: one cause may put a violation on every server.
MAX_LOCATED_VIOLATIONS = 100
MAX_SHOWN_SEAL = 40  # characters of a malformed seal


class FileHeader(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The file but for its servers, which are checked one by one; the fields are the file's keys."""

    servers: list[Any]
    sites: list[Annotated[str, Meta(min_length=1)]] | None = None
    generation: Annotated[int, Meta(ge=0, lt=1 << 53)] | None = None
    seal: str | None = None


@dataclass(frozen=True, slots=True)
class EndpointFileRules:
    """The operator's limits for an endpoint file, from the `servers` section."""

    networks: Networks  # that addresses must lie in
    max_servers: int
    max_bytes: int
    require_seal: bool
    min_ready_per_site: int
    sites_may_be_empty: frozenset[str]  # exempt from min_ready_per_site
    max_removed_share: float  # of the ready servers, that one change may remove without approval; 0 to 1

    @classmethod
    def from_settings(cls, servers: Servers) -> "EndpointFileRules":
        """Take the limits from the operator's file."""
        return cls(
            networks=Networks(servers.networks),
            max_servers=servers.most,
            max_bytes=servers.most_bytes,
            require_seal=servers.require_seal,
            min_ready_per_site=servers.least_per_site,
            sites_may_be_empty=frozenset(servers.may_be_empty),
            max_removed_share=servers.most_removed,
        )


@dataclass(frozen=True, slots=True)
class EndpointFile:
    """A complete endpoint file that keeps to the rules."""

    servers: Mapping[str, ResolvedEndpoint]  # by name
    sites: tuple[str, ...] | None  # that must keep ready servers; None: the file names none
    generation: int | None
    digest: str  # of the canonical form without the seal, as a seal states it
    sealed: bool

    def ready_names(self) -> frozenset[str]:
        """Return the names of the servers that may get new connections."""
        return frozenset(
            name
            for name, resolved in self.servers.items()
            if resolved.endpoint.state == api.EndpointState.READY
        )


def parse_endpoint_file(
    file: str, data: bytes, rules: EndpointFileRules, check_seal: bool = True
) -> EndpointFile:
    """Parse the bytes of an endpoint file.

    Args:
        file: its name, for the places of violations.
        data: its bytes.
        rules: the operator's limits.
        check_seal: False where the file is about to be sealed anew, or is part of a sealed document.

    Raises:
        ConfigurationError: with every violation and its place.

    """
    text, value = load(file, data, rules.max_bytes)
    if not isinstance(value, dict):
        raise ConfigurationError(file, [Violation("", "is no object", 1)])
    rows = _parse_servers(value.get("servers"), rules)
    violations = [*shape.find_violations(value, FileHeader), *rows.violations]
    if violations:
        raise _located_error(file, text, violations)
    endpoint_file = _build(value, rows)
    if check_seal:
        violations += _seal_violations(value.get(SEAL_KEY), endpoint_file.digest, rules)
    if not violations and endpoint_file.sites is not None:
        violations += site_violations(endpoint_file, endpoint_file.sites, rules, named_by_file=True)
    if violations:
        raise _located_error(file, text, violations)
    return endpoint_file


def site_violations(
    endpoint_file: EndpointFile, sites: tuple[str, ...], rules: EndpointFileRules, named_by_file: bool = False
) -> list[Violation]:
    """Find the sites that this file would leave with too few ready servers.

    named_by_file: the sites are those that the file names, so that a violation points at the site's name.
    """
    ready_counts = dict.fromkeys(sites, 0)
    for resolved in endpoint_file.servers.values():
        if resolved.endpoint.state == api.EndpointState.READY and resolved.endpoint.zone in ready_counts:
            ready_counts[resolved.endpoint.zone] += 1
    return [
        Violation(
            f"/sites/{sites.index(site)}" if named_by_file else "/servers",
            f'site "{site}" would keep {count} ready servers; {rules.min_ready_per_site} at least '
            "(servers.least_per_site; servers.may_be_empty names exceptions)",
        )
        for site, count in ready_counts.items()
        if count < rules.min_ready_per_site and site not in rules.sites_may_be_empty
    ]


def _parse_servers(servers: JsonValue, rules: EndpointFileRules) -> ParsedRows:
    if not isinstance(servers, list):
        return ParsedRows({}, [])  # a violation of the header's form
    if len(servers) > rules.max_servers:
        reason = f"{len(servers)} servers; {rules.max_servers} at most (servers.most)"
        return ParsedRows({}, [Violation("/servers", reason)])
    if not servers:
        return ParsedRows({}, [Violation("/servers", "an empty list would leave nobody to serve")])
    return parse_rows(servers, rules.networks)


def _build(value: dict[str, JsonValue], rows: ParsedRows) -> EndpointFile:
    header = msgspec.convert(value, FileHeader)
    return EndpointFile(
        servers=rows.endpoints,
        sites=None if header.sites is None else tuple(header.sites),
        generation=header.generation,
        digest=digest_of(value),
        sealed=header.seal is not None,
    )


def _seal_violations(seal: JsonValue, digest: str, rules: EndpointFileRules) -> Iterator[Violation]:
    if not isinstance(seal, str):
        if rules.require_seal:
            reason = "is missing, and servers.require_seal asks for one (wheatstile servers seal)"
            yield Violation("/seal", reason)
    elif not seal.startswith(DIGEST_PREFIX):
        yield Violation("/seal", f'"{seal[:MAX_SHOWN_SEAL]}" is no seal of the form {DIGEST_PREFIX}...')
    elif seal != digest:
        yield Violation("/seal", f"does not fit what the file says, which would be {digest}")


def _located_error(file: str, text: str, violations: list[Violation]) -> ConfigurationError:
    located = locate(text, violations[:MAX_LOCATED_VIOLATIONS])
    return ConfigurationError(file, located + violations[MAX_LOCATED_VIOLATIONS:])
