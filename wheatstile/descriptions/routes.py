"""Routes compiled to a matcher whose cost does not grow with their number. Pure.

A route is a list of tokens: path segments between `/`, or subject tokens between `.`. A token is a
literal, a partial one (`{name}.json`), a parameter (one token, whatever it is: `{id}`, `*`), or the rest
(`>`: one token or more, at the end). Of two routes that match the same, the more specific one is taken:
the one that matches less. Two that overlap with neither more specific are a conflict (`overlaps`), so that
a match is never a guess.
"""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Generic, Literal, TypeVar

T = TypeVar("T")
LITERAL, PARTIAL, PARAMETER, REST = 0, 1, 2, 3
MOST_TOKENS = 64  # of one route, and of what is matched


@dataclass(frozen=True, slots=True)
class Token:
    kind: int
    text: str = ""  # of a literal; of a partial one, its template

    def pattern(self) -> re.Pattern[str]:
        """Of a partial token: its parameters stand for one character or more."""
        parts = re.split(r"\{[^{}]*\}", self.text)
        return re.compile(".+".join(re.escape(part) for part in parts))

    def prefix(self) -> str:
        return self.text.partition("{")[0]

    def suffix(self) -> str:
        return self.text.rpartition("}")[2]


def path_tokens(template: str) -> tuple[Token, ...]:
    """The tokens of a path template. Raises ValueError."""
    tokens = []
    for segment in template.strip("/").split("/") if template.strip("/") else []:
        if re.fullmatch(r"\{[^{}]+\}", segment):
            tokens.append(Token(PARAMETER))
        elif "{" in segment or "}" in segment:
            if re.sub(r"\{[^{}]+\}", "", segment).strip("{}") != re.sub(r"\{[^{}]+\}", "", segment):
                raise ValueError(f'"{template}" has a brace without its other')
            if "}{" in segment:
                raise ValueError(f'"{template}" has two parameters with nothing between them')
            tokens.append(Token(PARTIAL, re.sub(r"\{[^{}]+\}", "{}", segment)))
        else:
            tokens.append(Token(LITERAL, segment))
    if len(tokens) > MOST_TOKENS:
        raise ValueError(f"{len(tokens)} segments; {MOST_TOKENS} at most")
    return tuple(tokens)


def subject_tokens(pattern: str) -> tuple[Token, ...]:
    """The tokens of a subject pattern: `*` is one token, `>` at the end the rest. Raises ValueError."""
    found = pattern.split(".")
    tokens = []
    for index, token in enumerate(found):
        if token == ">" and index == len(found) - 1:
            tokens.append(Token(REST))
        elif token == "*":
            tokens.append(Token(PARAMETER))
        elif not token or ">" in token or "*" in token:
            raise ValueError(
                f'"{pattern}" is no subject: "*" and ">" are whole tokens, ">" the last, none is empty'
            )
        else:
            tokens.append(Token(LITERAL, token))
    if len(tokens) > MOST_TOKENS:
        raise ValueError(f"{len(tokens)} tokens; {MOST_TOKENS} at most")
    return tuple(tokens)


def split_path(path: str) -> list[str]:
    """What is matched: the segments of a concrete path, its query left out."""
    plain = path.partition("?")[0].strip("/")
    return plain.split("/") if plain else []


def within(small: Token, large: Token) -> bool:
    """Whether every text that the one token matches is matched by the other."""
    if large.kind == PARAMETER:
        return small.kind != REST
    if small.kind == LITERAL and large.kind == PARTIAL:
        return large.pattern().fullmatch(small.text) is not None
    return small == large


def token_overlap(one: Token, other: Token) -> bool:
    """Whether a text may be matched by both. Of two partial ones, unless their ends rule it out."""
    if PARAMETER in (one.kind, other.kind):
        return True
    if one.kind == other.kind == LITERAL:
        return one.text == other.text
    if one.kind == LITERAL:
        return other.pattern().fullmatch(one.text) is not None
    if other.kind == LITERAL:
        return one.pattern().fullmatch(other.text) is not None
    fronts, backs = (one.prefix(), other.prefix()), (one.suffix(), other.suffix())
    return (fronts[0].startswith(fronts[1]) or fronts[1].startswith(fronts[0])) and (
        backs[0].endswith(backs[1]) or backs[1].endswith(backs[0])
    )


Relation = Literal["same", "narrower", "wider", "crossing", "apart"]


def relation(one: Sequence[Token], other: Sequence[Token]) -> Relation:
    """How what the one route matches lies to what the other does."""
    inside, outside = _covered(one, other), _covered(other, one)
    if inside and outside:
        return "same"
    if inside or outside:
        return "narrower" if inside else "wider"
    return "crossing" if _meet(one, other) else "apart"


def _covered(small: Sequence[Token], large: Sequence[Token]) -> bool:
    if large and large[-1].kind == REST:
        head = large[:-1]
        return len(small) >= len(large) and all(within(a, b) for a, b in zip(small, head, strict=False))
    if small and small[-1].kind == REST:
        return False
    return len(small) == len(large) and all(within(a, b) for a, b in zip(small, large, strict=True))


def _meet(one: Sequence[Token], other: Sequence[Token]) -> bool:
    heads = []
    rests = []
    for tokens in (one, other):
        rest = bool(tokens) and tokens[-1].kind == REST
        rests.append(rest)
        heads.append(tokens[:-1] if rest else tokens)
    if not all(token_overlap(a, b) for a, b in zip(*heads, strict=False)):
        return False
    if rests[0] and rests[1]:
        return True
    if rests[0]:
        return len(other) > len(heads[0])
    if rests[1]:
        return len(one) > len(heads[1])
    return len(one) == len(other)


@dataclass(slots=True)
class _Node(Generic[T]):
    literals: "dict[str, _Node[T]]" = field(default_factory=dict)
    partials: "list[tuple[Token, re.Pattern[str], _Node[T]]]" = field(default_factory=list)
    parameter: "_Node[T] | None" = None
    rest: "list[tuple[tuple[Token, ...], T]]" = field(default_factory=list)
    ends: "list[tuple[tuple[Token, ...], T]]" = field(default_factory=list)


class Matcher(Generic[T]):
    """Routes by their tokens, in a tree: a match walks down by the tokens of what is matched."""

    def __init__(self) -> None:
        self._root: _Node[T] = _Node()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, tokens: tuple[Token, ...], value: T) -> None:
        """One more route; the same tokens may be added more than once."""
        node = self._root
        self._size += 1
        for token in tokens:
            if token.kind == REST:
                node.rest.append((tokens, value))
                return
            node = self._child(node, token)
        node.ends.append((tokens, value))

    def _child(self, node: "_Node[T]", token: Token) -> "_Node[T]":
        if token.kind == LITERAL:
            return node.literals.setdefault(token.text, _Node())
        if token.kind == PARAMETER:
            node.parameter = node.parameter or _Node()
            return node.parameter
        for known, _, child in node.partials:
            if known == token:
                return child
        child = _Node()
        node.partials.append((token, token.pattern(), child))
        return child

    def matches(self, found: Sequence[str]) -> "list[tuple[tuple[Token, ...], T]]":
        """All routes that match these tokens; a more specific one before a less specific one."""
        results: list[tuple[tuple[Token, ...], T]] = []
        if len(found) <= MOST_TOKENS:
            self._walk(self._root, found, 0, results)
        if len(results) > 1:
            results.sort(
                key=lambda one: sum(relation(one[0], other[0]) == "narrower" for other in results),
                reverse=True,
            )
        return results

    def _walk(
        self, node: "_Node[T]", found: Sequence[str], at: int, results: "list[tuple[tuple[Token, ...], T]]"
    ) -> None:
        if at == len(found):
            results.extend(node.ends)
            return
        token = found[at]
        if (child := node.literals.get(token)) is not None:
            self._walk(child, found, at + 1, results)
        for _, pattern, child in node.partials:
            if pattern.fullmatch(token):
                self._walk(child, found, at + 1, results)
        if node.parameter is not None and token:
            self._walk(node.parameter, found, at + 1, results)
        results.extend(node.rest)

    def meeting(self, tokens: Sequence[Token]) -> "Iterator[tuple[tuple[Token, ...], T]]":
        """The routes that may match something that this one matches too."""
        yield from self._meeting(self._root, tokens, 0)

    def _meeting(
        self, node: "_Node[T]", tokens: Sequence[Token], at: int
    ) -> "Iterator[tuple[tuple[Token, ...], T]]":
        if at < len(tokens):
            yield from node.rest
        if at == len(tokens):
            yield from node.ends
            return
        token = tokens[at]
        if token.kind == REST:
            yield from self._below(node)
            return
        if token.kind == LITERAL:
            if (child := node.literals.get(token.text)) is not None:
                yield from self._meeting(child, tokens, at + 1)
        else:
            for text, child in node.literals.items():
                if token_overlap(token, Token(LITERAL, text)):
                    yield from self._meeting(child, tokens, at + 1)
        for known, _, child in node.partials:
            if token_overlap(token, known):
                yield from self._meeting(child, tokens, at + 1)
        if node.parameter is not None:
            yield from self._meeting(node.parameter, tokens, at + 1)

    def _below(self, node: "_Node[T]") -> "Iterator[tuple[tuple[Token, ...], T]]":
        """All routes with one token or more from here."""
        yield from node.rest
        children = [*node.literals.values(), *(child for _, _, child in node.partials)]
        for child in [*children, *([node.parameter] if node.parameter else [])]:
            yield from child.ends
            yield from self._below(child)
