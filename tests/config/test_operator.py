"""The operator's file: its violations with their locations, and the shipped schema and example."""

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatstile.config import operator
from wheatstile.config.violations import ConfigurationError

ROOT = Path(__file__).parents[2]

INVALID = """{
 "servers": {"file": "x", "mod": "merge", "after_s": "1",
   "networks": ["10.0.0.0/33", "::1/128", "10.0.0.1-10.0.0.9"],
   "most_removed": 2},
 "log": {"level": "loud"},
 "sarvers": {}
}"""


def violation_lines(text: str | bytes) -> list[str]:
    """Return the lines that report the violations in this text of an operator's file."""
    data = text if isinstance(text, bytes) else text.encode()
    with pytest.raises(ConfigurationError) as rejection:
        operator.parse("f", data)
    return rejection.value.lines()


def test_all_violations_are_reported_with_their_lines_and_pointers() -> None:
    found = violation_lines(INVALID)
    assert [line.rpartition(": ")[0].split(": ")[0] + " " + line.split(": ")[1] for line in found] == [
        "f:2 /servers/mod",
        "f:2 /servers/after_s",
        "f:3 /servers/networks/0",
        "f:3 /servers/networks/1",
        "f:4 /servers/most_removed",
        "f:5 /log/level",
        "f:6 /sarvers",
    ]
    assert 'did you mean "mode"?' in found[0]
    assert 'did you mean "servers"?' in found[-1]


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("", "f:1: /: not valid JSON"),
        ("[" * 100_000, "nested too deeply"),
        ("[]", "is not an object"),
        ('{"log": {"level": "info",\n"level": "info"}}', "f:2: /log/level: duplicate key, first defined"),
        ('{"a/b~": 1}', "f:1: /a~1b~0: unknown key"),
        (b'{"log": "\xff"}', "not valid UTF-8"),
        (b"\xef\xbb\xbf{}", "byte order mark"),
        ('{"$schema": "\\ud800"}', "surrogate"),
        ('{"log": 1%s}' % ("1" * 5000), "not valid JSON"),
        (" " * (operator.MAX_OPERATOR_FILE_BYTES + 1), "the file is larger than the limit of"),
    ],
)  # fmt: skip
def test_text_that_is_not_an_operators_file_is_rejected_with_the_reason(
    text: str | bytes, reason: str
) -> None:
    assert any(reason in line for line in violation_lines(text))


@given(st.text(alphabet='{}[]",:\\ \nabtrue1.-eu', max_size=60) | st.text(max_size=30))
def test_arbitrary_text_raises_only_configuration_errors(text: str) -> None:
    try:
        operator.parse("f", text.encode(errors="replace"))
    except ConfigurationError as rejection:
        assert rejection.lines()
        assert all(line.startswith("f:") for line in rejection.lines())


def test_shipped_schema_and_example_match_the_types() -> None:
    deploy = ROOT / "deploy"
    assert json.loads((deploy / "wheatstile.schema.json").read_text()) == operator.schema()
    shipped = operator.read(str(deploy / "wheatstile.json")).settings
    defaults = msgspec.to_builtins(operator.Operator(schema=shipped.schema))
    assert msgspec.to_builtins(shipped) == defaults
