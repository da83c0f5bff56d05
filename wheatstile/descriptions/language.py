"""The small language of the operator's rules: which operations a rule is about. Pure.

    method == "POST" and path ~ "/orders/**" and not tag in ["internal", "test"]

Fields: method, path, tag, operationId, channel, message, server, action, kind, file. A field with several
values (tag, message, server) fits if one of them does; `!=` fits if none does. In `~`, a `*` stands for
any text without the separator (`/`, in channels `.` too), `**` for any text, `?` for one character.
"""

import re
from collections.abc import Callable
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, UnexpectedToken
from lark.exceptions import VisitError

from wheatstile.config.violations import nearest
from wheatstile.descriptions.model import Operation

MOST_CHARACTERS = 2000
MOST_DEPTH = 40  # parentheses and nots within each other
Condition = Callable[[Operation], bool]

FIELDS: dict[str, Callable[[Operation], tuple[str, ...]]] = {
    "method": lambda one: (one.action,) if one.kind == "http" else (),
    "action": lambda one: (one.action,),
    "path": lambda one: (one.route,) if one.kind == "http" else (),
    "tag": lambda one: one.tags,
    "operationId": lambda one: (one.id,) if one.id else (),
    "channel": lambda one: (one.channel,) if one.channel else (),
    "message": lambda one: tuple(message.name for message in one.messages),
    "server": lambda one: one.servers,
    "kind": lambda one: (one.kind,),
    "file": lambda one: (one.place.file,),
}
GRAMMAR = r"""
?start: either
?either: both ("or" both)*
?both: simple ("and" simple)*
?simple: "not" simple -> negated
       | "(" either ")"
       | FIELD "==" TEXT -> equal
       | FIELD "!=" TEXT -> unequal
       | FIELD "~" TEXT -> like
       | FIELD "in" "[" TEXT ("," TEXT)* "]" -> one_of
FIELD: /[A-Za-z][A-Za-z0-9_]*/
TEXT: /"([^"\\]|\\.)*"/
%ignore /[ \t\n]+/
"""


class RuleError(ValueError):
    """A condition that cannot be read; column counts from 1."""

    def __init__(self, reason: str, column: int) -> None:
        self.reason, self.column = reason, column
        super().__init__(f"column {column}: {reason}")


def glob(pattern: str) -> re.Pattern[str]:
    """A glob as a regular expression."""
    parts = []
    for piece in re.findall(r"\*\*|\*|\?|[^*?]+", pattern):
        parts.append(
            {"**": ".*", "*": "[^/.]*" if "/" not in pattern else "[^/]*", "?": "."}.get(piece)
            or re.escape(piece)
        )
    return re.compile("".join(parts), re.DOTALL)


class _Conditions(Transformer[Token, Condition]):
    """A tree to a function of an operation."""

    def either(self, parts: list[Condition]) -> Condition:
        return lambda one: any(part(one) for part in parts)

    def both(self, parts: list[Condition]) -> Condition:
        return lambda one: all(part(one) for part in parts)

    def negated(self, parts: list[Condition]) -> Condition:
        return lambda one: not parts[0](one)

    def equal(self, parts: list[Token]) -> Condition:
        values, wanted = _field(parts[0]), _text(parts[1])
        return lambda one: wanted in values(one)

    def unequal(self, parts: list[Token]) -> Condition:
        values, wanted = _field(parts[0]), _text(parts[1])
        return lambda one: wanted not in values(one)

    def like(self, parts: list[Token]) -> Condition:
        values, pattern = _field(parts[0]), glob(_text(parts[1]))
        return lambda one: any(pattern.fullmatch(value) for value in values(one))

    def one_of(self, parts: list[Token]) -> Condition:
        values, wanted = _field(parts[0]), {_text(part) for part in parts[1:]}
        return lambda one: any(value in wanted for value in values(one))


def _field(token: Token) -> Callable[[Operation], tuple[str, ...]]:
    if token.value not in FIELDS:
        raise RuleError(f'unknown field "{token.value}"{nearest(token.value, FIELDS)}', token.column or 1)
    return FIELDS[token.value]


def _text(token: Token) -> str:
    return re.sub(r"\\(.)", r"\1", token.value[1:-1])


_PARSER = Lark(GRAMMAR, parser="lalr", maybe_placeholders=False)


def condition(text: str) -> Condition:
    """What a rule's text asks of an operation. Raises RuleError with the column."""
    if len(text) > MOST_CHARACTERS:
        raise RuleError(f"{len(text)} characters; {MOST_CHARACTERS} at most", 1)
    depth = 0
    for mark in re.finditer(r'"(?:[^"\\]|\\.)*"|[()]|\bnot\b', text):
        depth += {"(": 1, "not": 1, ")": -1}.get(mark.group(), 0)
        if depth > MOST_DEPTH:
            raise RuleError(f"nested deeper than {MOST_DEPTH}", mark.start() + 1)
    try:
        tree: Any = _PARSER.parse(text)
        made: Condition = _Conditions().transform(tree)
        return made
    except UnexpectedInput as error:
        at = error.pos_in_stream or 0
        if isinstance(error, UnexpectedToken) and error.token.type == "$END":
            raise RuleError("ends where more has to come", len(text) + 1) from None
        raise RuleError(f"does not understand {text[at : at + 20]!r} here", at + 1) from None
    except VisitError as error:
        if isinstance(error.orig_exc, RuleError):
            raise error.orig_exc from None
        raise
