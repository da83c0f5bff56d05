"""Parsing of path templates and subject patterns."""

from wheatstile.descriptions.routes import TokenKind, path_tokens, subject_tokens


def test_path_tokens_have_the_right_kinds() -> None:
    kinds = [token.kind for token in path_tokens("/a/{b}/c{d}")]
    assert kinds == [TokenKind.LITERAL, TokenKind.PARAMETER, TokenKind.PARTIAL]


def test_subject_tokens_have_the_right_kinds() -> None:
    kinds = [token.kind for token in subject_tokens("a.*.>")]
    assert kinds == [TokenKind.LITERAL, TokenKind.PARAMETER, TokenKind.REST]
