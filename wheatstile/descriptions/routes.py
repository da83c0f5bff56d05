"""Routes as lists of tokens, and how what two routes match is related. Pure.

A token is a path segment between `/` or a subject token between `.`: a literal, a partial parameter
(`{name}.json`), a parameter (one token of any text: `{id}`, `*`) or the rest (`>`: one token or more, at the
end).
Of two routes that match the same, the more specific one applies: the one that matches less.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from wheatstile.descriptions.findings import DescriptionError

MAX_TOKENS = 64  # of one route, and of what is matched
BRACES = "{}"
PARAMETER = re.compile(r"\{[^{}]+\}")
PLACEHOLDER = re.compile(r"\{[^{}]*\}")  # of a parameter in the text of a partial token


class RouteSyntaxError(DescriptionError):
    """A path template or subject pattern that cannot be parsed."""


class TokenKind(StrEnum):
    """What a token matches."""

    LITERAL = "literal"
    PARTIAL = "partial"  # a parameter with literal text round it
    PARAMETER = "parameter"
    REST = "rest"


@dataclass(frozen=True, slots=True)
class Token:
    """One token of a route."""

    kind: TokenKind
    text: str = ""  # of a literal; of a partial token, with `{}` for each parameter

    def pattern(self) -> re.Pattern[str]:
        """Return what a partial token matches: each parameter stands for one character or more."""
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
        raise RouteSyntaxError(f"{len(tokens)} segments; {MAX_TOKENS} at most")
    return tokens


def _segment_token(segment: str, template: str) -> Token:
    if PARAMETER.fullmatch(segment):
        return Token(TokenKind.PARAMETER)
    if not any(brace in segment for brace in BRACES):
        return Token(TokenKind.LITERAL, segment)
    literal_text = PARAMETER.sub("", segment)
    if literal_text.strip(BRACES) != literal_text:
        raise RouteSyntaxError(f'"{template}" has a brace without its other')
    if "}{" in segment:
        raise RouteSyntaxError(f'"{template}" has two parameters with nothing between them')
    return Token(TokenKind.PARTIAL, PARAMETER.sub(BRACES, segment))


def subject_tokens(pattern: str) -> tuple[Token, ...]:
    """Return the tokens of a subject pattern (`*`: one token, `>`: the rest). Raises RouteSyntaxError."""
    *head, last = pattern.split(".")
    tokens = [_subject_token(text, pattern) for text in head]
    tokens.append(Token(TokenKind.REST) if last == ">" else _subject_token(last, pattern))
    if len(tokens) > MAX_TOKENS:
        raise RouteSyntaxError(f"{len(tokens)} tokens; {MAX_TOKENS} at most")
    return tuple(tokens)


def _subject_token(text: str, pattern: str) -> Token:
    if text == "*":
        return Token(TokenKind.PARAMETER)
    if not text or ">" in text or "*" in text:
        raise RouteSyntaxError(
            f'"{pattern}" is no subject: "*" and ">" are whole tokens, ">" the last, none is empty'
        )
    return Token(TokenKind.LITERAL, text)


def split_path(path: str) -> list[str]:
    """Return the segments of a concrete path; its query is left out."""
    plain = path.partition("?")[0].strip("/")
    return plain.split("/") if plain else []


def token_within(small: Token, large: Token) -> bool:
    """Whether every text that the small token matches is matched by the large one."""
    if large.kind is TokenKind.PARAMETER:
        return small.kind is not TokenKind.REST
    if small.kind is TokenKind.LITERAL and large.kind is TokenKind.PARTIAL:
        return large.pattern().fullmatch(small.text) is not None
    return small == large


def tokens_overlap(first: Token, second: Token) -> bool:
    """Whether some text may match both. Two partial tokens overlap unless their ends rule it out."""
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
    """How what one route matches is related to what another matches."""

    SAME = "same"
    NARROWER = "narrower"  # all that the first matches, the second matches too
    WIDER = "wider"
    CROSSING = "crossing"  # they overlap, and neither contains the other
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
