"""Functions for both formats, OpenAPI and AsyncAPI: versions, operations and schema errors. Pure."""

import re
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from wheatstile.config.violations import pointer
from wheatstile.descriptions.findings import Finding, InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.model import Description, JsonValue, Operation
from wheatstile.descriptions.references import DocumentNode

MAX_SCHEMA_FINDINGS = 100  # findings about one document
MAX_REASON_CHARACTERS = 300
VALIDATOR_DETAILS = "Failed validating"  # start of the details that follow a validator's message


class SchemaError(Protocol):
    """A validator's error, as jsonschema and openapi-spec-validator report it."""

    @property
    def message(self) -> str:
        """The description of the error."""

    @property
    def absolute_path(self) -> Sequence[str | int]:
        """The keys and indexes from the root of the document to the invalid value."""

    @property
    def context(self) -> "Sequence[SchemaError] | None":
        """The errors of each alternative, if the schema allows several and all failed."""


def version_of(document: JsonValue, key: str, versions: Iterable[str]) -> str | None:
    """Return the version in a document's key without its patch number: `3.1` for `3.1.0` or `3.1.0-rc1`.

    None if it is not one of the versions.
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
    """Return the description that consists of the operations that the builders return.

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
    """Return a validator's error as a finding.

    If several alternatives failed, the finding is about the one whose error is deepest in the document.
    """
    nearest = error
    while nearest.context:
        nearest = max(nearest.context, key=_closeness)
    message = str(nearest.message).partition(VALIDATOR_DETAILS)[0]
    reason = " ".join(message.split())[:MAX_REASON_CHARACTERS]
    return Finding(locate(pointer(*nearest.absolute_path)), reason)


def _closeness(error: SchemaError) -> tuple[int, bool]:
    """Return a key that is greater the closer an alternative came to matching.

    An alternative that requires a `$ref` is less likely to be the intended one.
    """
    return len(error.absolute_path), "'$ref'" not in error.message
