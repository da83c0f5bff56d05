"""Validates OpenAPI documents by openapi-spec-validator. Pure: whoever reads files is passed in."""

from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

from wheatstile.descriptions.document import MAX_SCHEMA_FINDINGS, SchemaError, schema_finding
from wheatstile.descriptions.findings import Finding
from wheatstile.descriptions.model import JsonValue
from wheatstile.descriptions.references import DocumentNode

ReadFile: TypeAlias = Callable[[str], JsonValue]
"""Gives the document at a URI. Raises ValueError or InvalidDescriptionError."""

URI_SCHEMES = ("", "file", "http", "https")  # all that the validator would otherwise read on its own


def validate_openapi(root: DocumentNode, version: str, read_file: ReadFile) -> list[Finding]:
    """Return what the format's own rules find, the first ones.

    read_file gives the document at a URI; the validator reads nothing else.
    """
    findings: list[Finding] = []
    try:
        for error in _schema_errors(root, version, read_file):
            findings.append(schema_finding(error, root.file.locate))
            if len(findings) >= MAX_SCHEMA_FINDINGS:
                break
    except Exception as error:  # it goes on in documents that it has found invalid, and may fail there
        if not findings:
            reason = f"cannot be checked: {type(error).__name__} {error}"
            findings.append(Finding(root.location, reason))
    return findings


def _schema_errors(root: DocumentNode, version: str, read_file: ReadFile) -> Iterator[SchemaError]:
    import openapi_spec_validator  # slow to import, and AsyncAPI does without

    validators = {
        "3.0": openapi_spec_validator.OpenAPIV30SpecValidator,
        "3.1": openapi_spec_validator.OpenAPIV31SpecValidator,
        "3.2": openapi_spec_validator.OpenAPIV32SpecValidator,
    }

    class LocalValidator(validators[version]):  # type: ignore[misc, valid-type]
        """The validator of this version, with our reader."""

        resolver_handlers: Mapping[str, ReadFile] = dict.fromkeys(URI_SCHEMES, read_file)

    yield from LocalValidator(root.value, base_uri=root.uri).iter_errors()
