"""Reads, checks and writes endpoint files for commands."""

import json
from pathlib import Path
from typing import Any

from wheatstile.config.violations import ConfigurationError, Violation, load_json
from wheatstile.resolvers.approval import approval_path
from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.canonical_json import SEAL_KEY, digest_of
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.regular_file import read_regular_file
from wheatstile.resolvers.update_guard import ActiveEndpoints, evaluate

JsonObject = dict[str, Any]
"""A parsed JSON object."""

SERVERS_KEY = "servers"
GENERATION_KEY = "generation"


def read_endpoint_file(path: str, rules: EndpointFileRules) -> EndpointFile:
    """Return the endpoint file at `path`. Raises ConfigurationError."""
    return parse_endpoint_file(path, read_regular_file(Path(path), rules.max_bytes), rules)


def read_without_seal(path: str, rules: EndpointFileRules) -> JsonObject:
    """Return the JSON of a valid endpoint file, without its seal. Raises ConfigurationError."""
    data = read_regular_file(Path(path), rules.max_bytes)
    parse_endpoint_file(path, data, rules, check_seal=False)
    _, value = load_json(path, data, rules.max_bytes)
    return {key: element for key, element in value.items() if key != SEAL_KEY}


def rejection_reasons(
    new: EndpointFile,
    active: ActiveEndpoints,
    rules: EndpointFileRules,
    accepted_digests: frozenset[str] = frozenset(),
) -> list[str]:
    """Return the reasons why a balancer with the endpoints `active` would not apply `new`, if any."""
    evaluation = evaluate(new, active, None, accepted_digests, rules)
    return list(evaluation.reasons) if evaluation.is_blocked else []


def sealed_document(value: JsonObject) -> bytes:
    """Encode this document with its seal, and with one line per server so that diffs are readable."""
    rows = ",\n  ".join(json.dumps(row, ensure_ascii=False) for row in value[SERVERS_KEY])
    members = [f'"{SERVERS_KEY}": [\n  {rows}\n ]']
    for key, element in value.items():
        if key not in (SERVERS_KEY, SEAL_KEY):
            members.append(f"{json.dumps(key)}: {json.dumps(element, ensure_ascii=False)}")
    members.append(f'"{SEAL_KEY}": {json.dumps(digest_of(value))}')
    return ("{" + ",\n ".join(members) + "}\n").encode()


def write_file(path: Path, data: bytes) -> None:
    """Replace the file atomically. Raises ConfigurationError if it cannot be written."""
    try:
        write_atomic(path, data)
    except OSError as error:
        raise ConfigurationError(str(path), [Violation("", error.strerror or str(error))]) from None


def write_approval(path: Path, digest: str) -> None:
    """Approve the content with this digest for the file at `path`. Raises ConfigurationError."""
    write_file(approval_path(path), json.dumps({"digest": digest}).encode())
