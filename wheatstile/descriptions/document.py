"""Functions for documents of both formats, OpenAPI and AsyncAPI. Performs no I/O."""

import re
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from wheatstile.config.violations import json_pointer
from wheatstile.descriptions.findings import Finding, InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.model import Description, JsonValue, Operation
from wheatstile.descriptions.references import DocumentNode

MAX_SCHEMA_FINDINGS = 100  # limit for one document
MAX_REASON_CHARACTERS = 300
VALIDATOR_DETAILS = "Failed validating"  # the first words after the message of an error


class SchemaError(Protocol):
    """The interface of the errors of jsonschema and openapi-spec-validator."""

    @property
    def message(self) -> str:
        """The description of the error."""

    @property
    def absolute_path(self) -> Sequence[str | int]:
        """The keys and indexes from the root of the document to the invalid value."""

    @property
    def context(self) -> "Sequence[SchemaError] | None":
        """The errors of all alternatives, if the schema has alternatives and none of them is valid."""


def version_of(document: JsonValue, key: str, versions: Iterable[str]) -> str | None:
    """Return the version in a member of the document, without its patch number; None if it is unsupported.

    The version is `3.1` for `3.1.0` and for `3.1.0-rc1`.
    """
    version = document.get(key) if isinstance(document, dict) else None
    if not isinstance(version, str):
        return None
    supported = "|".join(map(re.escape, versions))
    match = re.fullmatch(rf"({supported})\.\d+(-.*)?", version)
    return match[1] if match else None


def build_description(
    root: DocumentNode, format_name: str, builders: Iterable[Callable[[], Operation]]
) -> Description:
    """Return a description with the operations that the builders return.

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
    """Convert a validator's error to a finding.

    If no alternative is valid, report the error of the alternative that came closest to matching.
    """
    closest = error
    while closest.context:
        closest = max(closest.context, key=_closeness)
    message = str(closest.message).partition(VALIDATOR_DETAILS)[0]
    reason = " ".join(message.split())[:MAX_REASON_CHARACTERS]
    return Finding(locate(json_pointer(*closest.absolute_path)), reason)


def _closeness(error: SchemaError) -> tuple[int, bool]:
    """Return a sort key that is greater for errors deeper in the document.

    At the same depth, it is smaller for an error about `$ref`: authors rarely intend that alternative.
    """
    return len(error.absolute_path), "'$ref'" not in error.message
