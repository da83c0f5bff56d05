"""Validates OpenAPI documents with openapi-spec-validator.

Performs no I/O: the caller passes the function that reads files.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

from wheatstile.descriptions.document import MAX_SCHEMA_FINDINGS, SchemaError, schema_finding
from wheatstile.descriptions.findings import Finding
from wheatstile.descriptions.model import JsonValue
from wheatstile.descriptions.references import DocumentNode

ReadFile: TypeAlias = Callable[[str], JsonValue]
"""Returns the document at a URI. Raises ValueError or InvalidDescriptionError."""

# The validator reads documents with these URI schemes itself unless it has a handler.
URI_SCHEMES = ("", "file", "http", "https")


def validate_openapi(root: DocumentNode, version: str, read_file: ReadFile) -> list[Finding]:
    """Return the violations of the OpenAPI specification, at most MAX_SCHEMA_FINDINGS.

    The function `read_file` reads the documents that this document refers to. The validator itself reads no
    files.
    """
    findings: list[Finding] = []
    try:
        for error in _schema_errors(root, version, read_file):
            findings.append(schema_finding(error, root.file.locate))
            if len(findings) >= MAX_SCHEMA_FINDINGS:
                break
    except Exception as error:  # the validator continues after an error, and may then raise any exception
        if not findings:
            reason = f"the validator failed: {type(error).__name__} {error}"
            findings.append(Finding(root.location, reason))
    return findings


def _schema_errors(root: DocumentNode, version: str, read_file: ReadFile) -> Iterator[SchemaError]:
    """Yield the validator's errors. The version is one of openapi.VERSIONS."""
    import openapi_spec_validator  # imported here because its import is slow, and AsyncAPI does not need it

    validators = {
        "3.0": openapi_spec_validator.OpenAPIV30SpecValidator,
        "3.1": openapi_spec_validator.OpenAPIV31SpecValidator,
        "3.2": openapi_spec_validator.OpenAPIV32SpecValidator,
    }

    class LocalValidator(validators[version]):  # type: ignore[misc, valid-type]
        """The validator of this version, which reads documents only with read_file."""

        resolver_handlers: Mapping[str, ReadFile] = dict.fromkeys(URI_SCHEMES, read_file)

    yield from LocalValidator(root.value, base_uri=root.uri).iter_errors()
