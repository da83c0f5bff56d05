"""What OpenAPI and AsyncAPI documents have in common: format versions, operations, schema errors. Pure."""

import re
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from wheatstile.config.violations import pointer
from wheatstile.descriptions.findings import Finding, InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.model import Description, JsonValue, Operation
from wheatstile.descriptions.references import DocumentNode

MAX_SCHEMA_FINDINGS = 100  # of one document
MAX_REASON_LENGTH = 300  # characters of a validator's message


class SchemaError(Protocol):
    """A validator's error, as jsonschema and openapi-spec-validator report it."""

    @property
    def message(self) -> str:
        """What is wrong."""

    @property
    def absolute_path(self) -> Sequence[str | int]:
        """The keys and indexes that lead to the value that is wrong."""

    @property
    def context(self) -> "Sequence[SchemaError] | None":
        """The errors of the alternatives, where several were allowed and all failed."""


def version_of(document: JsonValue, key: str, versions: Iterable[str]) -> str | None:
    """Which of the versions (`3.1`) the document's key names (`3.1.0`, `3.1.0-rc1`); None: none of them."""
    version = document.get(key) if isinstance(document, dict) else None
    if not isinstance(version, str):
        return None
    supported = "|".join(map(re.escape, versions))
    match = re.fullmatch(rf"({supported})\.\d+(-.*)?", version)
    return match[1] if match else None


def build_description(
    root: DocumentNode, format_name: str, builders: Iterable[Callable[[], Operation]]
) -> Description:
    """Return a document's operations, each from its builder.

    Raises InvalidDescriptionError with the findings of all operations.
    """
    findings: list[Finding] = []
    operations: list[Operation] = []
    for build in builders:
        try:
            operations.append(build())
        except InvalidDescriptionError as error:
            findings += error.findings
    if findings:
        raise InvalidDescriptionError(findings)
    info = root.get("info")
    title = info.get_text("title") if info else ""
    return Description(root.file.name, title, format_name, tuple(operations))


def schema_finding(error: SchemaError, locate: Callable[[str], SourceLocation]) -> Finding:
    """Return a validator's error at its location.

    Of several alternatives that all failed, the one that came nearest is reported.
    """
    nearest = error
    while nearest.context:
        nearest = max(nearest.context, key=_depth)
    message = str(nearest.message).partition("Failed validating")[0]
    reason = " ".join(message.split())[:MAX_REASON_LENGTH]
    return Finding(locate(pointer(*nearest.absolute_path)), reason)


def _depth(error: SchemaError) -> tuple[int, bool]:
    """How far an alternative got; one that only lacks a reference was not meant."""
    return len(error.absolute_path), "'$ref'" not in error.message
