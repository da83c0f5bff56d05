"""Parsing of the conditions of the operator's rules."""

from hypothesis import given
from hypothesis import strategies as st

from wheatstile.descriptions.condition_parser import RuleSyntaxError, parse_condition


@given(st.text(alphabet='abpathmethod ()[]"=!~,in*notr', max_size=40))
def test_arbitrary_text_raises_only_rule_syntax_errors(text: str) -> None:
    try:
        parse_condition(text)
    except RuleSyntaxError as error:
        assert 1 <= error.column <= len(text) + 1
