"""The last good list, kept in the state directory so that a restart onto a broken file has one to serve from.

May block: call it off the loop.
"""

from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.violations import ConfigurationError, Violation, load
from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, digest_of, parse_endpoint_file
from wheatstile.resolvers.regular_file import read_all

NAME = "servers-last-good.json"
FORM = 1


@dataclass(frozen=True, slots=True)
class LastKnownGood:
    document: EndpointFile
    taken_at_ms: int  # Unix time


def rows(servers: dict[str, ResolvedEndpoint]) -> list[dict[str, Any]]:
    """The servers as a document has them."""
    found = []
    for name, (entry, address) in servers.items():
        assert address
        row = {
            "id": name,
            "address": f"{address[0]}:{address[1]}",
            "site": entry.zone,
            "weight": entry.weight,
        }
        found.append(row | {"state": entry.state, "started": entry.started_at_us // 1000})
    return found


def save(folder: Path, kept: EndpointFile, taken_at_ms: int) -> None:
    """Write the document, sealed. Raises OSError; what was there before then stands."""
    inner: dict[str, Any] = {"servers": rows(dict(kept.servers))}
    if kept.sites is not None:
        inner["sites"] = list(kept.sites)
    if kept.generation is not None:
        inner["generation"] = kept.generation
    whole = {"form": FORM, "taken_at_ms": taken_at_ms, "digest": kept.digest, "document": inner}
    whole["seal"] = digest_of(whole)
    write_atomic(folder / NAME, msgspec.json.encode(whole))


def restore(folder: Path, rules: EndpointFileRules) -> LastKnownGood | None:
    """What was saved, held against the rules of today; None if nothing was. Raises ConfigurationError."""
    path = folder / NAME
    if not path.exists():
        return None
    most = (
        2 * rules.most_bytes + 4096
    )  # rows with all their fields are longer than they may have been written
    _, value = load(str(path), read_all(path, most), most)
    if not isinstance(value, dict) or value.get("form") != FORM or value.get("seal") != digest_of(value):
        raise ConfigurationError(str(path), [Violation("/seal", "is not what this program wrote")])
    inner = msgspec.json.encode(value["document"])
    roomy = replace(rules, most_bytes=most)
    found = parse_endpoint_file(str(path), inner, roomy, check_seal=False)
    sealed = EndpointFile(found.servers, found.sites, found.generation, value["digest"], found.sealed)
    return LastKnownGood(sealed, int(value["taken_at_ms"]))
