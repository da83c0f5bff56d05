"""The operator's file: every fault with its place, and the schema that ships."""

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatstile.config import operator
from wheatstile.config.violations import ConfigurationError

ROOT = Path(__file__).parents[2]

FAULTY = """{
 "servers": {"file": "x", "mod": "merge", "after_s": "1",
   "networks": ["10.0.0.0/33", "::1/128", "10.0.0.1-10.0.0.9"],
   "most_removed": 2},
 "log": {"level": "loud"},
 "sarvers": {}
}"""


def lines(text: str | bytes) -> list[str]:
    with pytest.raises(ConfigurationError) as refused:
        operator.parse("f", text if isinstance(text, bytes) else text.encode())
    return refused.value.lines()


def test_every_fault_is_told_at_once_with_its_line_and_pointer() -> None:
    found = lines(FAULTY)
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
    ("text", "told"),
    [
        ("", "f:1: /: no JSON"),
        ("[" * 100_000, "nested too deeply"),
        ("[]", "is no object"),
        ('{"log": {"level": "info",\n"level": "info"}}', "f:2: /log/level: the key stands twice, first"),
        ('{"a/b~": 1}', "f:1: /a~1b~0: unknown key"),
        (b'{"log": "\xff"}', "no UTF-8"),
        (b"\xef\xbb\xbf{}", "byte order mark"),
        ('{"$schema": "\\ud800"}', "surrogate"),
        ('{"log": 1%s}' % ("1" * 5000), "no JSON"),
        (" " * (operator.MOST_BYTES + 1), "at most"),
    ],
)  # fmt: skip
def test_what_is_no_operators_file_is_refused(text: str | bytes, told: str) -> None:
    assert any(told in line for line in lines(text))


@given(st.text(alphabet='{}[]",:\\ \nabtrue1.-eu', max_size=60) | st.text(max_size=30))
def test_no_text_brings_any_other_error(text: str) -> None:
    try:
        operator.parse("f", text.encode(errors="replace"))
    except ConfigurationError as refused:
        assert refused.lines()
        assert all(line.startswith("f:") for line in refused.lines())


def test_the_schema_and_the_example_that_ship_are_those_of_the_types() -> None:
    deploy = ROOT / "deploy"
    assert json.loads((deploy / "wheatstile.schema.json").read_text()) == operator.schema()
    shipped = operator.read(str(deploy / "wheatstile.json")).settings
    plain = msgspec.to_builtins(operator.Operator(schema=shipped.schema))  # all at its default, all off
    assert msgspec.to_builtins(shipped) == plain
