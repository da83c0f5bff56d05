"""Divides a reply that is larger than a frame into several replies."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from wheatstile.store.framing import MAX_FRAME_BYTES
from wheatstile.store.protocol import ErrorCode, KeyVersion, Reply

MAX_PART_BYTES = 1 << 20
"""Maximum size of the versions in one of several replies; the version that reaches it is included."""
VERSION_OVERHEAD_BYTES = 40
"""Upper bound for the encoded size of a version without its key and its value."""
REPLY_OVERHEAD_BYTES = 64 * 1024
"""Upper bound for the encoded size of a reply without its versions."""


def divide_reply(reply: Reply) -> Iterator[Reply]:
    """Yield the reply if it fits into a frame, and otherwise its parts in order.

    All parts but the last have the code `ErrorCode.PARTIAL`.
    """
    total_bytes = sum(map(_max_encoded_bytes, reply.versions))
    if total_bytes + REPLY_OVERHEAD_BYTES <= MAX_FRAME_BYTES:
        yield reply
        return
    part: list[KeyVersion] = []
    part_bytes = 0
    for version in reply.versions:
        if part_bytes >= MAX_PART_BYTES:
            yield Reply(ErrorCode.PARTIAL, versions=part, revision=reply.revision)
            part = []
            part_bytes = 0
        part.append(version)
        part_bytes += _max_encoded_bytes(version)
    yield msgspec.structs.replace(reply, versions=part)


def _max_encoded_bytes(version: KeyVersion) -> int:
    """Return an upper bound for the encoded size of a version."""
    return VERSION_OVERHEAD_BYTES + len(version.key.encode()) + len(version.value)
