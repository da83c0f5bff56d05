"""Matches keys against patterns. The parts of a key are separated by dots or slashes."""

from __future__ import annotations

ANY_PART = "*"
ALL_REMAINING_PARTS = ">"


def split_parts(key: str) -> list[str]:
    """Return the parts of a key or of a pattern."""
    return key.replace("/", ".").split(".")


def matches_pattern(pattern: str, key: str) -> bool:
    """Return whether `key` matches `pattern`.

    `*` matches one part, and `>` at the end of the pattern matches one or more parts.
    """
    pattern_parts = split_parts(pattern)
    key_parts = split_parts(key)
    last = len(pattern_parts) - 1
    for position, part in enumerate(pattern_parts):
        if part == ALL_REMAINING_PARTS and position == last:
            return len(key_parts) > position
        if position >= len(key_parts) or part not in (ANY_PART, key_parts[position]):
            return False
    return len(pattern_parts) == len(key_parts)
