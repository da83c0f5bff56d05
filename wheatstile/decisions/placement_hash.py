"""The seeds of candidate draws. With the same seed, every balancer draws the same candidates for a client."""

from zlib import crc32

from wheatstile import interface as api

RANDOM_PLACEMENT = 0  # not a hash: the candidates are drawn at random
_NEXT_CANDIDATES = b"next"


def placement_hash(request: api.Request) -> int:
    """Return the seed of a request's first candidates, or RANDOM_PLACEMENT.

    All clients of an affinity group have the same candidates, since each server that has any of the group's
    connections does the group's work once. A reconnecting client without a group gets random candidates
    instead of those of its key.
    """
    if request.affinity_group:
        return crc32(request.affinity_group.encode())
    if request.key and not request.reconnecting:
        return crc32(request.key.encode())
    return RANDOM_PLACEMENT


def next_placement_hash(current: int) -> int:
    """Return the seed of the candidates after those of `current`; RANDOM_PLACEMENT is not changed."""
    return crc32(_NEXT_CANDIDATES, current) if current != RANDOM_PLACEMENT else RANDOM_PLACEMENT
