"""The fault table: a cut applies to one direction, `*` matches all names, and `heal` removes faults."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wheatstile.fault_proxy.commands import parse_command
from wheatstile.fault_proxy.fault_table import FaultTable, LinkConditions, LinkPattern

LINES = [
    "cut a b",
    "cut b a",
    "cut * b",
    "isolate c",
    "heal",
    "heal a b",
    "delay a b 0.5",
    "delay * b 0.2 0.1",
    "rate a b 100",
    "lose a b 0.25",
    "repeat a * 0.5",
]


def after_last(lines: list[str], line: str) -> list[str]:
    """Return the lines after the last one that equals `line`, or all lines if there is none."""
    start = max((index + 1 for index, other in enumerate(lines) if other == line), default=0)
    return lines[start:]


@given(st.lists(st.sampled_from(LINES)))
def test_fault_applies_in_one_direction_until_it_is_healed(lines: list[str]) -> None:
    table = FaultTable()
    for line in lines:
        assert table.apply(parse_command(line)) is None

    since_heal = after_last(lines, "heal")
    since_own_heal = after_last(since_heal, "heal a b")
    conditions = table.conditions("a", "b")
    assert conditions.blocked == ("cut a b" in since_own_heal or "cut * b" in since_heal)
    assert table.conditions("b", "a").blocked == ("cut b a" in since_heal)
    assert table.conditions("b", "c").blocked == ("isolate c" in since_heal)
    expected_delay_s = 0.0
    if "delay * b 0.2 0.1" in since_heal:
        expected_delay_s = 0.2
    if "delay a b 0.5" in since_own_heal:
        expected_delay_s = 0.5
    assert conditions.delay_s == expected_delay_s
    assert conditions.rate_bytes_per_s == (100.0 if "rate a b 100" in since_own_heal else 0.0)
    assert conditions.loss_ratio == (0.25 if "lose a b 0.25" in since_own_heal else 0.0)
    assert conditions.duplication_ratio == (0.5 if "repeat a * 0.5" in since_heal else 0.0)

    table.apply(parse_command("heal"))
    assert all(table.conditions(source, target) == LinkConditions() for source in "abc" for target in "abc")


def test_reset_returns_the_links_to_reset_and_changes_no_fault() -> None:
    table = FaultTable()
    assert table.apply(parse_command("reset a *")) == LinkPattern("a", "*")
    assert table.conditions("a", "b") == LinkConditions()
    assert LinkPattern("a", "*").matches_either_direction("b", "a")
    assert not LinkPattern("a", "*").matches_either_direction("b", "c")
