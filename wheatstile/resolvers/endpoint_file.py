"""Parses an endpoint file from bytes, or reports every violation in it. Pure: performs no I/O."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from wheatstile import interface as api
from wheatstile.config import shape
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.networks import Networks
from wheatstile.config.operator import Servers
from wheatstile.config.violations import ConfigurationError, Violation, json_pointer, load_json, locate
from wheatstile.resolvers.canonical_json import DIGEST_PREFIX, SEAL_KEY, JsonValue, digest_of
from wheatstile.resolvers.endpoint_rows import ParsedRows, parse_rows
from wheatstile.resolvers.ready_endpoints import ready_names

# Maximum number of violations with a line number. The lookup of lines is slow, and a single mistake may cause
# a violation for every server.
MAX_LOCATED_VIOLATIONS = 100
MAX_QUOTED_SEAL_CHARACTERS = 40  # length of the excerpt of a malformed seal in an error message


class FileHeader(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The top-level keys of the file. The servers are validated separately, one by one.

    The field names are the keys in the file.
    """

    servers: list[Any]
    sites: list[Annotated[str, Meta(min_length=1)]] | None = None
    generation: Annotated[int, Meta(ge=0, lt=1 << 53)] | None = None
    seal: str | None = None


@dataclass(frozen=True, slots=True)
class EndpointFileRules:
    """The operator's limits for an endpoint file."""

    networks: Networks  # networks in which servers may have their addresses
    max_servers: int
    max_bytes: int
    require_seal: bool
    min_ready_per_site: int
    sites_may_be_empty: frozenset[str]  # sites that are exempt from min_ready_per_site
    max_removed_share: float  # share of the ready servers that a file may remove without approval, 0 to 1

    @classmethod
    def from_settings(cls, servers: Servers) -> "EndpointFileRules":
        """Build the rules from the `servers` section of the operator's file."""
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
    """A parsed endpoint file without violations."""

    servers: Mapping[str, ResolvedEndpoint]  # keyed by name
    sites: tuple[str, ...] | None  # sites that must have ready servers; None: the file has no such list
    generation: int | None
    digest: str  # digest of the content, which the seal must match
    sealed: bool

    def endpoints(self) -> Iterator[api.Endpoint]:
        """Return the servers without their addresses."""
        return (resolved.endpoint for resolved in self.servers.values())

    def ready_names(self) -> frozenset[str]:
        """Return the names of the servers that may receive new connections."""
        return ready_names(self.endpoints())


@dataclass(frozen=True, slots=True)
class SiteShortage:
    """A site with fewer ready servers than the rules require."""

    site: str
    ready_count: int
    min_ready: int

    @property
    def reason(self) -> str:
        """The error message."""
        return (
            f'site "{self.site}" would keep {self.ready_count} ready servers; the minimum is {self.min_ready}'
            " (servers.least_per_site; servers.may_be_empty lists exempt sites)"
        )


def site_shortages(
    endpoint_file: EndpointFile, sites: Iterable[str], rules: EndpointFileRules
) -> Iterator[SiteShortage]:
    """Yield a shortage for each of these sites that the file would leave with too few ready servers."""
    ready_counts = dict.fromkeys(sites, 0)
    for endpoint in endpoint_file.endpoints():
        if endpoint.is_ready and endpoint.zone in ready_counts:
            ready_counts[endpoint.zone] += 1
    for site, count in ready_counts.items():
        if count < rules.min_ready_per_site and site not in rules.sites_may_be_empty:
            yield SiteShortage(site, count, rules.min_ready_per_site)


def parse_endpoint_file(
    file: str, data: bytes, rules: EndpointFileRules, check_seal: bool = True
) -> EndpointFile:
    """Parse the bytes of an endpoint file.

    Args:
        file: the file's name in error messages.
        data: the file's bytes.
        rules: the operator's limits.
        check_seal: False if the caller will write a new seal, or if the data is part of a sealed document.

    Raises:
        ConfigurationError: the file breaks a rule. The error lists all violations with their lines.

    """
    text, value = load_json(file, data, rules.max_bytes)
    if not isinstance(value, dict):
        raise ConfigurationError(file, [Violation("", "is not an object", 1)])
    rows = _parse_servers(value.get("servers"), rules)
    _raise_if_any(file, text, [*shape.find_violations(value, FileHeader), *rows.violations])
    endpoint_file = _build_endpoint_file(value, rows)
    if check_seal:
        _raise_if_any(file, text, list(_seal_violations(value.get(SEAL_KEY), endpoint_file.digest, rules)))
    _raise_if_any(file, text, _site_violations(endpoint_file, rules))
    return endpoint_file


def _parse_servers(servers: JsonValue, rules: EndpointFileRules) -> ParsedRows:
    if not isinstance(servers, list):
        return ParsedRows({}, [])  # reported by the check of FileHeader
    if len(servers) > rules.max_servers:
        reason = f"the file has {len(servers)} servers; the limit is {rules.max_servers} (servers.most)"
        return ParsedRows({}, [Violation("/servers", reason)])
    if not servers:
        return ParsedRows({}, [Violation("/servers", "is an empty list; at least one server is required")])
    return parse_rows(servers, rules.networks)


def _build_endpoint_file(value: dict[str, JsonValue], rows: ParsedRows) -> EndpointFile:
    """Build an EndpointFile from a value without violations."""
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
            reason = "is missing; servers.require_seal requires a seal (`wheatstile servers seal` writes one)"
            yield Violation("/seal", reason)
    elif not seal.startswith(DIGEST_PREFIX):
        yield Violation("/seal", f'"{seal[:MAX_QUOTED_SEAL_CHARACTERS]}" does not start with {DIGEST_PREFIX}')
    elif seal != digest:
        yield Violation("/seal", f"does not match the content of the file, whose digest is {digest}")


def _site_violations(endpoint_file: EndpointFile, rules: EndpointFileRules) -> list[Violation]:
    """Return a violation for each site that the file lists but leaves with too few ready servers."""
    sites = endpoint_file.sites or ()
    return [
        Violation(json_pointer("sites", sites.index(shortage.site)), shortage.reason)
        for shortage in site_shortages(endpoint_file, sites, rules)
    ]


def _raise_if_any(file: str, text: str, violations: list[Violation]) -> None:
    """Raise ConfigurationError if there are violations. Line numbers are added to the first ones."""
    if violations:
        located = locate(text, violations[:MAX_LOCATED_VIOLATIONS])
        raise ConfigurationError(file, located + violations[MAX_LOCATED_VIOLATIONS:])
