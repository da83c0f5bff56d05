"""The last accepted endpoint file, stored so that a restart onto a broken file has servers to start from.

The stored form must stay readable: the structs here name its keys. May block: call it off the event loop.
"""

from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.violations import ConfigurationError, Violation, load
from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.canonical_json import SEAL_KEY, digest_of
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.regular_file import read_all

FILE_NAME = "servers-last-good.json"
FORMAT_VERSION = 1
ENVELOPE_BYTES = 4096  # at most, of what is stored around the servers
MICROSECONDS_PER_MILLISECOND = 1000


class StoredServer(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One server with all the keys that an endpoint file may state of it."""

    id: str
    address: str  # HOST:PORT
    site: str
    weight: float
    state: str
    started: int  # Unix time in milliseconds; 0: long ago

    @classmethod
    def from_endpoint(cls, resolved: ResolvedEndpoint) -> "StoredServer":
        """Take the stored form of a server with an address. Raises ValueError where it has none."""
        if resolved.address is None:
            raise ValueError(f"server {resolved.endpoint.name} has no address")
        host, port = resolved.address
        return cls(
            id=resolved.endpoint.name,
            address=f"{host}:{port}",
            site=resolved.endpoint.zone,
            weight=resolved.endpoint.weight,
            state=resolved.endpoint.state,
            started=resolved.endpoint.started_at_us // MICROSECONDS_PER_MILLISECOND,
        )


class StoredFile(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """The endpoint file without its seal; a key that the file did not have is left out."""

    servers: list[StoredServer]
    sites: list[str] | None = None
    generation: int | None = None


class StoredCopy(msgspec.Struct, frozen=True):
    """All that is stored; `seal` is added, over the rest, when it is written."""

    form: int  # FORMAT_VERSION
    taken_at_ms: int  # Unix time
    digest: str  # of the endpoint file as it was accepted
    document: StoredFile


@dataclass(frozen=True, slots=True)
class LastKnownGood:
    """A stored endpoint file and when it was accepted."""

    endpoint_file: EndpointFile
    accepted_at_ms: int  # Unix time


def save(folder: Path, endpoint_file: EndpointFile, accepted_at_ms: int) -> None:
    """Store the file, sealed. Raises OSError; what was stored before stays then."""
    document = StoredFile(
        servers=[StoredServer.from_endpoint(resolved) for resolved in endpoint_file.servers.values()],
        sites=None if endpoint_file.sites is None else list(endpoint_file.sites),
        generation=endpoint_file.generation,
    )
    stored = msgspec.to_builtins(StoredCopy(FORMAT_VERSION, accepted_at_ms, endpoint_file.digest, document))
    stored[SEAL_KEY] = digest_of(stored)
    write_atomic(folder / FILE_NAME, msgspec.json.encode(stored))


def restore(folder: Path, rules: EndpointFileRules) -> LastKnownGood | None:
    """Read the stored file and check it by the rules of today; None if there is none.

    Raises:
        ConfigurationError: it is damaged, or does not keep to the rules.

    """
    path = folder / FILE_NAME
    if not path.exists():
        return None
    # Servers are stored with all their keys, so they are longer than they may have been in the file.
    max_bytes = 2 * rules.max_bytes + ENVELOPE_BYTES
    _, value = load(str(path), read_all(path, max_bytes), max_bytes)
    if (
        not isinstance(value, dict)
        or value.get("form") != FORMAT_VERSION
        or value.get(SEAL_KEY) != digest_of(value)
    ):
        raise ConfigurationError(str(path), [Violation("/seal", "is not what this program wrote")])
    stored = msgspec.convert(value, StoredCopy)
    document = msgspec.json.encode(stored.document)
    parsed = parse_endpoint_file(str(path), document, replace(rules, max_bytes=max_bytes), check_seal=False)
    return LastKnownGood(replace(parsed, digest=stored.digest), stored.taken_at_ms)
