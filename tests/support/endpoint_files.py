"""Builds rows and sealed documents of endpoint files, and provides rules that they satisfy."""

import json
from typing import Any

from wheatstile.config.operator import Servers
from wheatstile.resolvers.canonical_json import digest_of
from wheatstile.resolvers.endpoint_file import EndpointFileRules

JsonObject = dict[str, Any]

FIRST_PORT = 9000
RULES = EndpointFileRules.from_settings(
    Servers(networks=["127.0.0.0/8", "10.0.0.1-10.0.0.9"], most=50, most_bytes=5000)
)


def endpoint_rows(*names: str, **changes: object) -> list[JsonObject]:
    """Return a row for each server, with ports from FIRST_PORT on. The changes apply to every row."""
    return [
        {"id": name, "address": f"127.0.0.1:{FIRST_PORT + index}", "site": "a"} | changes
        for index, name in enumerate(names)
    ]


def sealed_document(value: JsonObject) -> bytes:
    """Encode this document with its seal."""
    return json.dumps(value | {"seal": digest_of(value)}).encode()
