"""Routes as lists of tokens, and comparison of the targets that two routes match. Performs no I/O.

A token is one segment of a path (separated by `/`) or one token of a subject (separated by `.`). There are
four kinds: a literal, a partial token (literal text around parameters, such as `{name}.json`), a parameter
(`{id}` or `*`, which matches one token of any text) and the rest (`>`, which matches one or more tokens at
the end of a subject). If two routes match a target, the more specific one applies: the route that matches
fewer targets.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from wheatstile.descriptions.findings import DescriptionError

MAX_TOKENS = 64  # limit for one route and for one target
BRACES = "{}"
PARAMETER = re.compile(r"\{[^{}]+\}")
PLACEHOLDER = re.compile(r"\{[^{}]*\}")  # matches a parameter in the text of a partial token


class RouteSyntaxError(DescriptionError):
    """Raised for a path template or subject pattern that cannot be parsed."""


class TokenKind(StrEnum):
    """The kind of a token. It determines the texts that the token matches."""

    LITERAL = "literal"
    PARTIAL = "partial"  # contains parameters and literal text
    PARAMETER = "parameter"
    REST = "rest"  # matches one or more tokens; only allowed as the last token of a route


@dataclass(frozen=True, slots=True)
class Token:
    """One token of a route."""

    kind: TokenKind
    text: str = ""  # set only for LITERAL and PARTIAL; in PARTIAL tokens, parameters are written as `{}`

    def pattern(self) -> re.Pattern[str]:
        """Return the regular expression of a partial token. A parameter matches one or more characters."""
        return re.compile(".+".join(re.escape(part) for part in PLACEHOLDER.split(self.text)))

    def prefix(self) -> str:
        """Return the literal text before the first parameter."""
        return self.text.partition("{")[0]

    def suffix(self) -> str:
        """Return the literal text after the last parameter."""
        return self.text.rpartition("}")[2]


def path_tokens(template: str) -> tuple[Token, ...]:
    """Return the tokens of a path template. Raises RouteSyntaxError."""
    path = template.strip("/")
    tokens = tuple(_segment_token(segment, template) for segment in path.split("/")) if path else ()
    if len(tokens) > MAX_TOKENS:
        raise RouteSyntaxError(f'"{template}" has {len(tokens)} segments; the limit is {MAX_TOKENS}')
    return tokens


def _segment_token(segment: str, template: str) -> Token:
    if PARAMETER.fullmatch(segment):
        return Token(TokenKind.PARAMETER)
    if not any(brace in segment for brace in BRACES):
        return Token(TokenKind.LITERAL, segment)
    literal_text = PARAMETER.sub("", segment)
    if literal_text.strip(BRACES) != literal_text:
        raise RouteSyntaxError(f'"{template}" has an unmatched brace')
    if "}{" in segment:
        raise RouteSyntaxError(f'"{template}" has two adjacent parameters in one segment')
    return Token(TokenKind.PARTIAL, PARAMETER.sub(BRACES, segment))


def subject_tokens(pattern: str) -> tuple[Token, ...]:
    """Return the tokens of a subject pattern. Raises RouteSyntaxError.

    `*` matches one token of any text, and `>` matches one or more tokens at the end.
    """
    *head, last = pattern.split(".")
    tokens = [_subject_token(text, pattern) for text in head]
    tokens.append(Token(TokenKind.REST) if last == ">" else _subject_token(last, pattern))
    if len(tokens) > MAX_TOKENS:
        raise RouteSyntaxError(f'"{pattern}" has {len(tokens)} tokens; the limit is {MAX_TOKENS}')
    return tuple(tokens)


def _subject_token(text: str, pattern: str) -> Token:
    if text == "*":
        return Token(TokenKind.PARAMETER)
    if not text or ">" in text or "*" in text:
        raise RouteSyntaxError(
            f'"{pattern}" is not a valid subject: no token may be empty, '
            '"*" and ">" must be whole tokens, and ">" must be the last token'
        )
    return Token(TokenKind.LITERAL, text)


def split_path(path: str) -> list[str]:
    """Return the segments of the path of a request, without the query string."""
    without_query = path.partition("?")[0].strip("/")
    return without_query.split("/") if without_query else []


def split_subject(subject: str) -> list[str]:
    """Return the tokens of the subject of a message."""
    return subject.split(".")


def token_within(inner: Token, outer: Token) -> bool:
    """Return whether the outer token matches every text that the inner token matches."""
    if outer.kind is TokenKind.PARAMETER:
        return inner.kind is not TokenKind.REST
    if inner.kind is TokenKind.LITERAL and outer.kind is TokenKind.PARTIAL:
        return outer.pattern().fullmatch(inner.text) is not None
    return inner == outer


def tokens_overlap(first: Token, second: Token) -> bool:
    """Return whether both tokens may match the same text.

    Two partial tokens are assumed to overlap unless their literal prefixes or suffixes exclude it.
    """
    kinds = (first.kind, second.kind)
    if TokenKind.PARAMETER in kinds:
        return True
    if kinds == (TokenKind.LITERAL, TokenKind.LITERAL):
        return first.text == second.text
    if first.kind is TokenKind.LITERAL:
        return second.pattern().fullmatch(first.text) is not None
    if second.kind is TokenKind.LITERAL:
        return first.pattern().fullmatch(second.text) is not None
    prefixes_agree = _one_starts_with_other(first.prefix(), second.prefix())
    return prefixes_agree and _one_ends_with_other(first.suffix(), second.suffix())


def _one_starts_with_other(first: str, second: str) -> bool:
    return first.startswith(second) or second.startswith(first)


def _one_ends_with_other(first: str, second: str) -> bool:
    return first.endswith(second) or second.endswith(first)


class Relation(StrEnum):
    """The relation between the sets of targets that two routes match."""

    SAME = "same"  # the sets are equal
    NARROWER = "narrower"  # the second route matches every target of the first
    WIDER = "wider"  # the first route matches every target of the second
    CROSSING = "crossing"  # the sets overlap, and neither contains the other
    DISJOINT = "disjoint"  # no target is in both sets


def relation(first: Sequence[Token], second: Sequence[Token]) -> Relation:
    """Return the relation of the first route to the second."""
    is_within = _route_within(first, second)
    contains = _route_within(second, first)
    if is_within and contains:
        return Relation.SAME
    if is_within:
        return Relation.NARROWER
    if contains:
        return Relation.WIDER
    return Relation.CROSSING if _routes_overlap(first, second) else Relation.DISJOINT


def _has_rest(tokens: Sequence[Token]) -> bool:
    return bool(tokens) and tokens[-1].kind is TokenKind.REST


def _without_rest(tokens: Sequence[Token]) -> Sequence[Token]:
    return tokens[:-1] if _has_rest(tokens) else tokens


def _route_within(inner: Sequence[Token], outer: Sequence[Token]) -> bool:
    if _has_rest(outer):
        pairs = zip(inner, outer[:-1], strict=False)
        return len(inner) >= len(outer) and all(token_within(*pair) for pair in pairs)
    if _has_rest(inner):
        return False
    return len(inner) == len(outer) and all(token_within(*pair) for pair in zip(inner, outer, strict=True))


def _routes_overlap(first: Sequence[Token], second: Sequence[Token]) -> bool:
    first_fixed = _without_rest(first)
    second_fixed = _without_rest(second)
    if not all(tokens_overlap(*pair) for pair in zip(first_fixed, second_fixed, strict=False)):
        return False
    if _has_rest(first) and _has_rest(second):
        return True
    if _has_rest(first):
        return len(second) > len(first_fixed)
    if _has_rest(second):
        return len(first) > len(second_fixed)
    return len(first) == len(second)
