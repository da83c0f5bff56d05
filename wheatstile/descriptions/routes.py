"""Routes as lists of tokens, and the relation between what two routes match. Pure.

A token is one path segment (separated by `/`) or one subject token (separated by `.`). It is a literal, a
partial parameter (`{name}.json`), a parameter (one token of any text: `{id}`, `*`) or the rest (`>`: one or
more tokens at the end). If two routes match the same target, the more specific one applies: the one that
matches fewer targets.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from wheatstile.descriptions.findings import DescriptionError

MAX_TOKENS = 64  # tokens of a route or of a target
BRACES = "{}"
PARAMETER = re.compile(r"\{[^{}]+\}")
PLACEHOLDER = re.compile(r"\{[^{}]*\}")  # a parameter in the text of a partial token


class RouteSyntaxError(DescriptionError):
    """A path template or subject pattern that cannot be parsed."""


class TokenKind(StrEnum):
    """The kind of text that a token matches."""

    LITERAL = "literal"
    PARTIAL = "partial"  # parameters with literal text around them
    PARAMETER = "parameter"
    REST = "rest"  # one or more tokens, at the end of a route


@dataclass(frozen=True, slots=True)
class Token:
    """One token of a route."""

    kind: TokenKind
    text: str = ""  # only for literal and partial tokens; `{}` marks each parameter of a partial token

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
    """Return the tokens of a subject pattern (`*`: one token, `>`: the rest). Raises RouteSyntaxError."""
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
    """Return the segments of a concrete path, without its query."""
    plain = path.partition("?")[0].strip("/")
    return plain.split("/") if plain else []


def split_subject(subject: str) -> list[str]:
    """Return the tokens of a concrete subject."""
    return subject.split(".")


def token_within(small: Token, large: Token) -> bool:
    """Return whether the large token matches every text that the small token matches."""
    if large.kind is TokenKind.PARAMETER:
        return small.kind is not TokenKind.REST
    if small.kind is TokenKind.LITERAL and large.kind is TokenKind.PARTIAL:
        return large.pattern().fullmatch(small.text) is not None
    return small == large


def tokens_overlap(first: Token, second: Token) -> bool:
    """Return whether some text may match both tokens.

    Two partial tokens are taken to overlap unless their prefixes or suffixes exclude it.
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
    """The relation of the set of targets that one route matches to the set of another route."""

    SAME = "same"
    NARROWER = "narrower"  # the second route matches every target of the first
    WIDER = "wider"  # the first route matches every target of the second
    CROSSING = "crossing"  # the sets overlap, and neither contains the other
    DISJOINT = "disjoint"


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


def _route_within(small: Sequence[Token], large: Sequence[Token]) -> bool:
    if _has_rest(large):
        pairs = zip(small, large[:-1], strict=False)
        return len(small) >= len(large) and all(token_within(*pair) for pair in pairs)
    if _has_rest(small):
        return False
    return len(small) == len(large) and all(token_within(*pair) for pair in zip(small, large, strict=True))


def _routes_overlap(first: Sequence[Token], second: Sequence[Token]) -> bool:
    first_head = _without_rest(first)
    second_head = _without_rest(second)
    if not all(tokens_overlap(*pair) for pair in zip(first_head, second_head, strict=False)):
        return False
    if _has_rest(first) and _has_rest(second):
        return True
    if _has_rest(first):
        return len(second) > len(first_head)
    if _has_rest(second):
        return len(first) > len(second_head)
    return len(first) == len(second)
