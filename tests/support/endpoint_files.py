"""Endpoint files for tests: rows, sealed documents, and rules that they keep to."""

import json
from typing import Any

from wheatstile.config.operator import Servers
from wheatstile.resolvers.canonical_json import digest_of
from wheatstile.resolvers.endpoint_file import EndpointFileRules

JsonObject = dict[str, Any]

RULES = EndpointFileRules.from_settings(
    Servers(networks=["127.0.0.0/8", "10.0.0.1-10.0.0.9"], most=50, most_bytes=5000)
)


def endpoint_rows(*names: str, **changes: object) -> list[JsonObject]:
    """A row for each server, at ports from 9000 on; the changes apply to every row."""
    return [
        {"id": name, "address": f"127.0.0.1:{9000 + index}", "site": "a"} | changes
        for index, name in enumerate(names)
    ]


def sealed_document(value: JsonObject) -> bytes:
    """The bytes of this document with its seal."""
    return json.dumps(value | {"seal": digest_of(value)}).encode()
