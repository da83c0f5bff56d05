"""A route matcher based on a prefix tree of tokens. Performs no I/O.

The cost of a match does not grow with the number of routes.
"""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from wheatstile.descriptions.routes import MAX_TOKENS, Relation, Token, TokenKind, relation, tokens_overlap

Value = TypeVar("Value")


class RouteEntry(NamedTuple, Generic[Value]):
    """A route in the matcher, and the value that was added with it."""

    tokens: tuple[Token, ...]
    value: Value


class _PartialChild(NamedTuple, Generic[Value]):
    """A child node for a partial token."""

    token: Token
    pattern: re.Pattern[str]
    node: "_Node[Value]"


@dataclass(slots=True)
class _Node(Generic[Value]):
    """A node of the tree. The edges from the root to a node are the first tokens of all routes below it."""

    literals: "dict[str, _Node[Value]]" = field(default_factory=dict)
    partials: list[_PartialChild[Value]] = field(default_factory=list)
    parameter: "_Node[Value] | None" = None
    rest: list[RouteEntry[Value]] = field(default_factory=list)  # routes whose next token is a REST token
    ends: list[RouteEntry[Value]] = field(default_factory=list)  # routes that end at this node

    def child(self, token: Token) -> "_Node[Value]":
        """Return the child for this token, and create it if there is none."""
        if token.kind is TokenKind.LITERAL:
            return self.literals.setdefault(token.text, _Node())
        if token.kind is TokenKind.PARAMETER:
            self.parameter = self.parameter or _Node()
            return self.parameter
        for partial in self.partials:
            if partial.token == token:
                return partial.node
        child = _PartialChild[Value](token, token.pattern(), _Node())
        self.partials.append(child)
        return child.node

    def children(self) -> "Iterator[_Node[Value]]":
        """Yield all children."""
        yield from self.literals.values()
        for child in self.partials:
            yield child.node
        if self.parameter is not None:
            yield self.parameter

    def overlapping_children(self, token: Token) -> "Iterator[_Node[Value]]":
        """Yield the children whose token may match some text that this token also matches."""
        if token.kind is TokenKind.LITERAL:
            if (literal := self.literals.get(token.text)) is not None:
                yield literal
        else:
            for text, node in self.literals.items():
                if tokens_overlap(token, Token(TokenKind.LITERAL, text)):
                    yield node
        for child in self.partials:
            if tokens_overlap(token, child.token):
                yield child.node
        if self.parameter is not None:
            yield self.parameter


def _specificity(entry: RouteEntry[Value], others: Sequence[RouteEntry[Value]]) -> int:
    """Return how many of the other routes are less specific than this route."""
    return sum(relation(entry.tokens, other.tokens) is Relation.NARROWER for other in others)


class RouteMatcher(Generic[Value]):
    """A prefix tree of routes, keyed by their tokens.

    A match follows the tokens of the target from the root.
    """

    def __init__(self) -> None:
        self._root: _Node[Value] = _Node()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, tokens: tuple[Token, ...], value: Value) -> None:
        """Add a route. The same tokens may be added more than once."""
        node = self._root
        self._size += 1
        for token in tokens:
            if token.kind is TokenKind.REST:
                node.rest.append(RouteEntry(tokens, value))
                return
            node = node.child(token)
        node.ends.append(RouteEntry(tokens, value))

    def matches(self, target: Sequence[str]) -> list[RouteEntry[Value]]:
        """Return all routes that match these tokens, with more specific routes first."""
        matched: list[RouteEntry[Value]] = []
        if len(target) <= MAX_TOKENS:
            self._collect(self._root, target, 0, matched)
        if len(matched) > 1:
            matched.sort(key=lambda entry: _specificity(entry, matched), reverse=True)
        return matched

    def _collect(
        self, node: _Node[Value], target: Sequence[str], index: int, matched: list[RouteEntry[Value]]
    ) -> None:
        """Append the routes below the node that match the target's tokens from this index on."""
        if index == len(target):
            matched.extend(node.ends)
            return
        token = target[index]
        if (literal := node.literals.get(token)) is not None:
            self._collect(literal, target, index + 1, matched)
        for _, pattern, child in node.partials:
            if pattern.fullmatch(token):
                self._collect(child, target, index + 1, matched)
        if node.parameter is not None and token:
            self._collect(node.parameter, target, index + 1, matched)
        matched.extend(node.rest)

    def overlapping(self, tokens: Sequence[Token]) -> Iterator[RouteEntry[Value]]:
        """Yield the routes that may match some target that these tokens also match."""
        yield from self._overlapping(self._root, tokens, 0)

    def _overlapping(
        self, node: _Node[Value], tokens: Sequence[Token], index: int
    ) -> Iterator[RouteEntry[Value]]:
        if index == len(tokens):
            yield from node.ends
            return
        yield from node.rest
        token = tokens[index]
        if token.kind is TokenKind.REST:
            yield from self._longer_routes(node)
            return
        for child in node.overlapping_children(token):
            yield from self._overlapping(child, tokens, index + 1)

    def _longer_routes(self, node: _Node[Value]) -> Iterator[RouteEntry[Value]]:
        """Yield the routes that pass through the node and have at least one more token."""
        yield from node.rest
        for child in node.children():
            yield from child.ends
            yield from self._longer_routes(child)
