"""The fault table: a cut is one way, `*` stands for all names, the worst fault counts, heal lifts all."""

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
    """Return the lines behind the last one that equals `line`; all of them where none does."""
    return lines[max((index + 1 for index, one in enumerate(lines) if one == line), default=0) :]


@given(st.lists(st.sampled_from(LINES)))
def test_faults_are_one_way_and_heal_lifts_them(lines: list[str]) -> None:
    table = FaultTable()
    for line in lines:
        assert table.apply(parse_command(line)) is None
    since_heal = after_last(lines, "heal")
    since_own_heal = after_last(since_heal, "heal a b")
    conditions = table.conditions("a", "b")
    assert conditions.blocked == ("cut a b" in since_own_heal or "cut * b" in since_heal)
    assert table.conditions("b", "a").blocked == ("cut b a" in since_heal)
    assert table.conditions("b", "c").blocked == ("isolate c" in since_heal)
    delays_s = [0.5 * ("delay a b 0.5" in since_own_heal), 0.2 * ("delay * b 0.2 0.1" in since_heal)]
    assert conditions.delay_s == max(delays_s)
    assert conditions.rate_bytes_per_s == 100.0 * ("rate a b 100" in since_own_heal)
    assert conditions.loss_ratio == 0.25 * ("lose a b 0.25" in since_own_heal)
    assert conditions.duplication_ratio == 0.5 * ("repeat a * 0.5" in since_heal)
    table.apply(parse_command("heal"))
    assert all(table.conditions(source, target) == LinkConditions() for source in "abc" for target in "abc")


def test_reset_names_its_links_and_changes_no_fault() -> None:
    table = FaultTable()
    assert table.apply(parse_command("reset a *")) == LinkPattern("a", "*")
    assert table.conditions("a", "b") == LinkConditions()
    assert LinkPattern("a", "*").matches_either_way("b", "a")
    assert not LinkPattern("a", "*").matches_either_way("b", "c")
