"""Files of servers, as the commands read, judge and write them."""

import json
from pathlib import Path
from typing import Any

from wheatstile.config.violations import ConfigurationError, Violation, load
from wheatstile.resolvers import document, intake
from wheatstile.resolvers.document import Document, Rules, digest_of
from wheatstile.resolvers.files import read_all, write_atomic
from wheatstile.resolvers.intake import InForce
from wheatstile.resolvers.source import accept_path

JsonObject = dict[str, Any]
"""A JSON object as it was parsed."""

SERVERS_KEY = "servers"
GENERATION_KEY = "generation"
SEAL_KEY = "seal"
REJECTED_OUTCOMES = frozenset({"refused", "held"})
"""The outcomes of a file that a balancer does not take as it is."""


def read_document(path: str, rules: Rules) -> Document:
    """The file of servers at `path`. Raises ConfigurationError."""
    return document.read(path, read_all(Path(path), rules.most_bytes), rules)


def read_unsealed(path: str, rules: Rules) -> JsonObject:
    """The file's JSON without its seal, once it has been found valid. Raises ConfigurationError."""
    data = read_all(Path(path), rules.most_bytes)
    document.read(path, data, rules, check_seal=False)
    _, value = load(path, data, rules.most_bytes)
    return {key: element for key, element in value.items() if key != SEAL_KEY}


def rejection_reasons(
    new: Document, current: InForce, rules: Rules, accepted_digests: frozenset[str] = frozenset()
) -> list[str]:
    """Why a balancer that has `current` would not take `new`; empty where it would."""
    admission = intake.admit(new, current, None, accepted_digests, rules)
    return list(admission.reasons) if admission.outcome in REJECTED_OUTCOMES else []


def sealed_text(value: JsonObject) -> bytes:
    """The document with its seal, a line for each server, so that a comparison of lines tells something."""
    rows = ",\n  ".join(json.dumps(row, ensure_ascii=False) for row in value[SERVERS_KEY])
    members = [f'"{SERVERS_KEY}": [\n  {rows}\n ]']
    for key, element in value.items():
        if key not in (SERVERS_KEY, SEAL_KEY):
            members.append(f"{json.dumps(key)}: {json.dumps(element, ensure_ascii=False)}")
    members.append(f'"{SEAL_KEY}": {json.dumps(digest_of(value))}')
    return ("{" + ",\n ".join(members) + "}\n").encode()


def write_file(path: Path, data: bytes) -> None:
    """Put `data` in the file's place at once. Raises ConfigurationError where it cannot be written."""
    try:
        write_atomic(path, data)
    except OSError as error:
        raise ConfigurationError(str(path), [Violation("", error.strerror or str(error))]) from None


def write_approval(path: Path, digest: str) -> None:
    """Name the content of the file at `path` as accepted. Raises ConfigurationError."""
    write_file(accept_path(path), json.dumps({"digest": digest}).encode())
