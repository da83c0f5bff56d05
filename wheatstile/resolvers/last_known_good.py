"""Stores a copy of the last accepted endpoint file, and restores it at a restart.

If the endpoint file is invalid at a restart, the balancer starts with the servers of the copy. Later versions
must be able to read the stored format: the field names of the structs are its keys. May block: call it in a
thread.
"""

from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.violations import ConfigurationError, Violation, load_json
from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.canonical_json import SEAL_KEY, JsonValue, digest_of
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.endpoint_rows import ENDPOINT_STATES, US_PER_MS
from wheatstile.resolvers.regular_file import read_regular_file

FILE_NAME = "servers-last-good.json"
FORMAT_VERSION = 1
MAX_ENVELOPE_BYTES = 4096  # maximum size of the stored copy without its servers
# A server is stored with all its keys and with numbers in another notation than in the endpoint file.
MAX_SERVER_GROWTH_BYTES = 96  # upper bound for the bytes that this adds to one server
MIN_GROWTH_FACTOR = 2  # a copy of up to this multiple of the limit of the file has always been read

STATE_VALUES = {state: value for value, state in ENDPOINT_STATES.items()}


class StoredServer(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One server, with all keys that it may have in an endpoint file."""

    id: str
    address: str  # HOST:PORT
    site: str
    weight: float
    state: str
    started: int  # Unix time in milliseconds; 0: long ago or unknown

    @classmethod
    def from_endpoint(cls, resolved: ResolvedEndpoint) -> "StoredServer":
        """Return the stored form of a server. Raises ValueError if the server has no address."""
        if resolved.address is None:
            raise ValueError(f'server "{resolved.endpoint.name}" has no address')
        host, port = resolved.address
        return cls(
            id=resolved.endpoint.name,
            address=f"{host}:{port}",
            site=resolved.endpoint.zone,
            weight=resolved.endpoint.weight,
            state=STATE_VALUES[resolved.endpoint.state],
            started=resolved.endpoint.started_at_us // US_PER_MS,
        )


class StoredFile(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """The endpoint file without its seal. A key that the file does not have is omitted."""

    servers: list[StoredServer]
    sites: list[str] | None = None
    generation: int | None = None


class StoredCopy(msgspec.Struct, frozen=True):
    """The stored copy without its seal, which is added when the copy is written."""

    form: int  # FORMAT_VERSION
    taken_at_ms: int  # Unix time
    digest: str  # digest of the accepted endpoint file
    document: StoredFile


@dataclass(frozen=True, slots=True)
class LastKnownGood:
    """A stored endpoint file, and the time at which it was accepted."""

    endpoint_file: EndpointFile
    accepted_at_ms: int  # Unix time


def save(directory: Path, endpoint_file: EndpointFile, accepted_at_ms: int) -> None:
    """Store the file with a seal. Raises OSError; the previous copy is then kept."""
    document = StoredFile(
        servers=[StoredServer.from_endpoint(resolved) for resolved in endpoint_file.servers.values()],
        sites=None if endpoint_file.sites is None else list(endpoint_file.sites),
        generation=endpoint_file.generation,
    )
    stored = msgspec.to_builtins(StoredCopy(FORMAT_VERSION, accepted_at_ms, endpoint_file.digest, document))
    stored[SEAL_KEY] = digest_of(stored)
    write_atomic(directory / FILE_NAME, msgspec.json.encode(stored))


def restore(directory: Path, rules: EndpointFileRules) -> LastKnownGood | None:
    """Return the stored file, checked against the current rules, or None if no copy is stored.

    Raises:
        ConfigurationError: the copy is corrupt, or breaks a rule.

    """
    path = directory / FILE_NAME
    if not path.exists():
        return None
    max_bytes = _max_copy_bytes(rules)
    _, value = load_json(str(path), read_regular_file(path, max_bytes), max_bytes)
    if not _is_intact(value):
        reason = "does not match the content of the file, or the format is unknown"
        raise ConfigurationError(str(path), [Violation("/seal", reason)])
    stored = msgspec.convert(value, StoredCopy)
    document = msgspec.json.encode(stored.document)
    parsed = parse_endpoint_file(str(path), document, replace(rules, max_bytes=max_bytes), check_seal=False)
    return LastKnownGood(replace(parsed, digest=stored.digest), stored.taken_at_ms)


def _max_copy_bytes(rules: EndpointFileRules) -> int:
    """Return the maximum size of a copy, which includes the copy of any file that the rules allow."""
    growth_bytes = rules.max_servers * MAX_SERVER_GROWTH_BYTES
    copy_bytes = max(rules.max_bytes + growth_bytes, MIN_GROWTH_FACTOR * rules.max_bytes)
    return copy_bytes + MAX_ENVELOPE_BYTES


def _is_intact(value: JsonValue) -> bool:
    """Return whether the value is a stored copy of the known format with a valid seal."""
    if not isinstance(value, dict):
        return False
    return value.get("form") == FORMAT_VERSION and value.get(SEAL_KEY) == digest_of(value)
