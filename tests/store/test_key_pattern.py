"""`matches_pattern`: exact parts and wildcards."""

from __future__ import annotations

import pytest

from wheatstile.store.key_pattern import matches_pattern


@pytest.mark.parametrize(
    ("pattern", "key", "expected"),
    [
        ("a/b", "a/b", True),
        ("a/*", "a/b", True),
        ("a/*", "a/b.c", False),
        ("a/>", "a/b.c", True),
        (">", "a", True),
        ("a/>", "a", False),
        ("*/b", "a/b", True),
        ("a/b", "a/c", False),
        ("a", "a/b", False),
    ],
)
def test_a_pattern_matches_only_the_expected_keys(pattern: str, key: str, expected: bool) -> None:
    assert matches_pattern(pattern, key) is expected
