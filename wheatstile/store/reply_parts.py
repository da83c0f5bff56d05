"""Divides a reply with many versions into several replies, each of which fits into a frame."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from wheatstile.store.protocol import ErrorCode, KeyVersion, Reply

MAX_PART_BYTES = 1 << 20
"""Maximum bytes of keys and values in one of several replies; the version that reaches it is included."""


def divide_reply(reply: Reply) -> Iterator[Reply]:
    """Yield the reply, or its parts in order. All parts but the last have the code `ErrorCode.PARTIAL`."""
    part: list[KeyVersion] = []
    part_bytes = 0
    for version in reply.versions:
        if part_bytes >= MAX_PART_BYTES:
            yield Reply(ErrorCode.PARTIAL, versions=part, revision=reply.revision)
            part = []
            part_bytes = 0
        part.append(version)
        part_bytes += len(version.key.encode()) + len(version.value)
    yield msgspec.structs.replace(reply, versions=part)
