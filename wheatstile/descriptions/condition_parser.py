"""Parses the conditions of the operator's rules. A condition selects operations. Performs no I/O.

This is an example of a condition:

    method == "POST" and path ~ "/orders/**" and not tag in ["internal", "test"]

Fields: method, path, tag, operationId, channel, message, server, action, kind, file. If a field has several
values (tag, message, server), a comparison is true if it is true for one of them; `!=` is true if no value is
equal. The operator `~` compares a value with a glob, in which `*` matches any text without a separator, `**`
matches any text, and `?` matches one character. The separator is `/`, and also `.` if the glob contains no
`/`.
"""

import re
from collections.abc import Callable
from typing import TypeAlias

from lark import Lark, Token, Transformer, UnexpectedInput, UnexpectedToken
from lark.exceptions import VisitError

from wheatstile.config.violations import suggestion_or_known_names
from wheatstile.descriptions.findings import DescriptionError
from wheatstile.descriptions.model import Operation, OperationKind

MAX_CHARACTERS = 2000
MAX_NESTING_DEPTH = 40  # levels of parentheses and negations
MAX_QUOTED_CHARACTERS = 20  # length of the excerpt of a condition in an error message
END_OF_INPUT = "$END"  # type of lark's token at the end of the text

Condition: TypeAlias = Callable[[Operation], bool]
Field: TypeAlias = Callable[[Operation], tuple[str, ...]]


def _nonempty(value: str) -> tuple[str, ...]:
    return (value,) if value else ()


def _if_http(operation: Operation, value: str) -> tuple[str, ...]:
    return (value,) if operation.kind is OperationKind.HTTP else ()


FIELDS: dict[str, Field] = {
    "method": lambda operation: _if_http(operation, operation.action),
    "action": lambda operation: (operation.action,),
    "path": lambda operation: _if_http(operation, operation.route),
    "tag": lambda operation: operation.tags,
    "operationId": lambda operation: _nonempty(operation.id),
    "channel": lambda operation: _nonempty(operation.channel),
    "message": lambda operation: tuple(message.name for message in operation.messages),
    "server": lambda operation: operation.servers,
    "kind": lambda operation: (operation.kind,),
    "file": lambda operation: (operation.location.file,),
}
GRAMMAR = r"""
?start: any_of
?any_of: all_of ("or" all_of)*
?all_of: simple ("and" simple)*
?simple: "not" simple -> negation
       | "(" any_of ")"
       | FIELD "==" TEXT -> equal
       | FIELD "!=" TEXT -> unequal
       | FIELD "~" TEXT -> like
       | FIELD "in" "[" TEXT ("," TEXT)* "]" -> one_of
FIELD: /[A-Za-z][A-Za-z0-9_]*/
TEXT: /"([^"\\]|\\.)*"/
%ignore /[ \t\n]+/
"""
PARSER = Lark(GRAMMAR, parser="lalr", maybe_placeholders=False)
NESTING_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[()]|\bnot\b')
DEPTH_CHANGE = {"(": 1, "not": 1, ")": -1}
ESCAPE = re.compile(r"\\(.)")
GLOB_PART = re.compile(r"\*\*|\*|\?|[^*?]+")


class RuleSyntaxError(DescriptionError):
    """Raised for a condition that cannot be parsed. `column` starts at 1."""

    def __init__(self, reason: str, column: int) -> None:
        self.reason = reason
        self.column = column
        super().__init__(f"column {column}: {reason}")


def parse_condition(text: str) -> Condition:
    """Return the condition as a predicate on operations. Raises RuleSyntaxError."""
    if len(text) > MAX_CHARACTERS:
        raise RuleSyntaxError(f"the condition has {len(text)} characters; the limit is {MAX_CHARACTERS}", 1)
    _check_nesting(text)
    try:
        return _ConditionBuilder().transform(PARSER.parse(text))
    except UnexpectedInput as error:
        if isinstance(error, UnexpectedToken) and error.token.type == END_OF_INPUT:
            raise RuleSyntaxError("the condition is incomplete", len(text) + 1) from None
        position = error.pos_in_stream or 0
        excerpt = text[position : position + MAX_QUOTED_CHARACTERS]
        raise RuleSyntaxError(f"unexpected {excerpt!r}", position + 1) from None
    except VisitError as error:
        if isinstance(error.orig_exc, RuleSyntaxError):
            raise error.orig_exc from None
        raise


def _check_nesting(text: str) -> None:
    """Raise RuleSyntaxError for a condition whose evaluation would recurse too deeply."""
    depth = 0
    for token in NESTING_TOKEN.finditer(text):
        depth += DEPTH_CHANGE.get(token.group(), 0)
        if depth > MAX_NESTING_DEPTH:
            raise RuleSyntaxError(f"nested deeper than {MAX_NESTING_DEPTH} levels", token.start() + 1)


def compile_glob(pattern: str) -> re.Pattern[str]:
    """Return a regular expression that is equivalent to the glob."""
    wildcards = {"**": ".*", "*": "[^/]*" if "/" in pattern else "[^/.]*", "?": "."}
    parts = [wildcards.get(part) or re.escape(part) for part in GLOB_PART.findall(pattern)]
    return re.compile("".join(parts), re.DOTALL)


class _ConditionBuilder(Transformer[Token, Condition]):
    """Converts a parse tree to a condition.

    For each node of the tree, lark calls the method with the node's name, and passes the converted children.
    """

    def any_of(self, parts: list[Condition]) -> Condition:
        """Build `A or B ...`."""
        return lambda operation: any(part(operation) for part in parts)

    def all_of(self, parts: list[Condition]) -> Condition:
        """Build `A and B ...`."""
        return lambda operation: all(part(operation) for part in parts)

    def negation(self, parts: list[Condition]) -> Condition:
        """Build `not A`."""
        return lambda operation: not parts[0](operation)

    def equal(self, parts: list[Token]) -> Condition:
        """Build `FIELD == TEXT`."""
        values = _field(parts[0])
        expected = _text(parts[1])
        return lambda operation: expected in values(operation)

    def unequal(self, parts: list[Token]) -> Condition:
        """Build `FIELD != TEXT`."""
        values = _field(parts[0])
        expected = _text(parts[1])
        return lambda operation: expected not in values(operation)

    def like(self, parts: list[Token]) -> Condition:
        """Build `FIELD ~ TEXT`."""
        values = _field(parts[0])
        pattern = compile_glob(_text(parts[1]))
        return lambda operation: any(pattern.fullmatch(value) for value in values(operation))

    def one_of(self, parts: list[Token]) -> Condition:
        """Build `FIELD in [TEXT, ...]`."""
        values = _field(parts[0])
        expected = {_text(part) for part in parts[1:]}
        return lambda operation: any(value in expected for value in values(operation))


def _field(token: Token) -> Field:
    """Return the function that reads the values of a field. Raises RuleSyntaxError for an unknown field."""
    if token.value not in FIELDS:
        reason = f'unknown field "{token.value}"{suggestion_or_known_names(token.value, FIELDS)}'
        raise RuleSyntaxError(reason, token.column or 1)
    return FIELDS[token.value]


def _text(token: Token) -> str:
    """Return the content of a quoted string, with escapes resolved."""
    return ESCAPE.sub(r"\1", token.value[1:-1])
