"""Tests that canonical JSON is equal to the output of the reference library, with either encoder."""

from typing import Any

import rfc8785
from hypothesis import given
from hypothesis import strategies as st

from wheatstile.resolvers.canonical_json import canonical_json

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=4)
NUMBER = st.integers(1 - (1 << 53), (1 << 53) - 1) | st.floats(allow_nan=False, allow_infinity=False)
JSON = st.recursive(
    st.none() | st.booleans() | NUMBER | TEXT,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=4),
    max_leaves=20,
)


@given(JSON)
def test_any_value_is_encoded_as_by_the_reference_library(value: Any) -> None:
    assert canonical_json(value) == rfc8785.dumps(value)
    with_plain_object = [value, {"a": 0.001, "b": 2.5, "c": 999999.25, "d": -1, "e": 1.0}]
    assert canonical_json(with_plain_object) == rfc8785.dumps(with_plain_object)


@given(st.dictionaries(st.text("abz~é", max_size=3), st.floats(0, 1e7) | st.text('ab"\\/\x7f é', max_size=3)))
def test_rows_are_encoded_as_by_the_reference_library(row: dict[str, Any]) -> None:
    assert canonical_json([row]) == rfc8785.dumps([row])
