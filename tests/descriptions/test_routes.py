"""Parsing of path templates and subject patterns."""

from wheatstile.descriptions.routes import TokenKind, path_tokens, subject_tokens


def test_path_template_is_parsed_to_tokens_of_the_expected_kinds() -> None:
    kinds = [token.kind for token in path_tokens("/a/{b}/c{d}")]
    assert kinds == [TokenKind.LITERAL, TokenKind.PARAMETER, TokenKind.PARTIAL]


def test_subject_pattern_is_parsed_to_tokens_of_the_expected_kinds() -> None:
    kinds = [token.kind for token in subject_tokens("a.*.>")]
    assert kinds == [TokenKind.LITERAL, TokenKind.PARAMETER, TokenKind.REST]
