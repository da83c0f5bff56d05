"""Conversion of plain YAML scalars to values."""

import pytest

from wheatstile.descriptions.yaml_scalars import plain_scalar


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("", None),
        ("~", None),
        ("null", None),
        ("true", True),
        ("FALSE", False),
        ("yes", "yes"),
        ("no", "no"),
        ("17", 17),
        ("-017", -17),
        ("0o17", 15),
        ("0xff", 255),
        ("1.5", 1.5),
        (".5e1", 5.0),
        ("1_000", "1_000"),
        ("2024-01-01", "2024-01-01"),
        ("9" * 301, float("9" * 301)),
    ],
)
def test_plain_scalar_follows_the_core_schema(text: str, value: bool | float | str | None) -> None:
    result = plain_scalar(text)
    assert result == value
    assert type(result) is type(value)
