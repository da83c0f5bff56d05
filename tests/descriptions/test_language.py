"""The language of the operator's rules."""

from hypothesis import given
from hypothesis import strategies as st

from wheatstile.descriptions.language import RuleSyntaxError, parse_condition


@given(st.text(alphabet='abpathmethod ()[]"=!~,in*notr', max_size=40))
def test_no_condition_raises_any_other_error(text: str) -> None:
    try:
        parse_condition(text)
    except RuleSyntaxError as error:
        assert 1 <= error.column <= len(text) + 1
