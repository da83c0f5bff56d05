"""Reads descriptions from files and directories, and compiles them with the operator's rules."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from wheatstile.config.operator import Descriptions, OperatorFile
from wheatstile.descriptions import asyncapi, openapi
from wheatstile.descriptions.compile import compile_descriptions
from wheatstile.descriptions.compile_types import (
    ClassPolicies,
    ClassPolicy,
    CompiledDescriptions,
    CompileOptions,
)
from wheatstile.descriptions.document import version_of
from wheatstile.descriptions.document_directory import DocumentDirectory
from wheatstile.descriptions.findings import (
    Finding,
    InvalidDescriptionError,
    SourceLocation,
    sorted_by_location,
)
from wheatstile.descriptions.model import Description, JsonValue
from wheatstile.descriptions.openapi_validation import validate_openapi
from wheatstile.descriptions.operator_rules import read_operator_rules
from wheatstile.descriptions.references import DocumentNode, reference_findings
from wheatstile.descriptions.worker_protocol import ClassSettings

SUFFIXES = (".yaml", ".yml", ".json")
SWAGGER_KEY = "swagger"
FORMAT_KEYS = (openapi.VERSION_KEY, asyncapi.VERSION_KEY, SWAGGER_KEY)
DEFAULT_MAX_ATTEMPTS = 5
MAX_QUOTED_VALUE_CHARACTERS = 60  # length of a quoted value in a finding
ELLIPSIS = "..."


@dataclass(slots=True)
class DescriptionSet:
    """Descriptions before compilation, and the paths of all files that were read."""

    descriptions: list[Description] = field(default_factory=list)
    files: set[str] = field(default_factory=set)  # includes referenced files


@dataclass(frozen=True, slots=True)
class Compilation:
    """Compiled descriptions, and the descriptions before compilation."""

    descriptions: CompiledDescriptions
    description_set: DescriptionSet


def read_descriptions(paths: Iterable[str | Path]) -> DescriptionSet:
    """Read the descriptions at these paths. For a directory, read all description files below it.

    Raises InvalidDescriptionError with every finding.
    """
    result = DescriptionSet()
    findings: list[Finding] = []
    for path in map(Path, paths):
        is_directory = path.is_dir()
        directory = DocumentDirectory(path if is_directory else path.parent, result.files)
        files = _description_files(path) if is_directory else [path]
        if not files:
            location = SourceLocation(str(path), 1, "")
            findings.append(Finding(location, f"contains no file with a suffix of {', '.join(SUFFIXES)}"))
        for file in files:
            try:
                description = _read_description(directory, file, may_be_part=is_directory)
            except InvalidDescriptionError as error:
                findings += error.findings
            except (ValueError, RecursionError) as error:
                location = SourceLocation(str(file), 1, "")
                findings.append(Finding(location, str(error) or type(error).__name__))
            else:
                if description:
                    result.descriptions.append(description)
    if findings:
        raise InvalidDescriptionError(sorted_by_location(findings))
    return result


def _description_files(directory: Path) -> list[Path]:
    return sorted(file for file in directory.rglob("*") if file.suffix in SUFFIXES and file.is_file())


def _read_description(directory: DocumentDirectory, path: Path, *, may_be_part: bool) -> Description | None:
    """Return the description in a file; None if the file is only a part that other files refer to.

    If `may_be_part` is set, a file without a format key is assumed to be such a part. Otherwise, it is an
    error.
    Raises InvalidDescriptionError or ValueError.
    """
    root = directory.document(path)
    document = root.value
    if not isinstance(document, dict) or not any(key in document for key in FORMAT_KEYS):
        if may_be_part:
            return None
        reason = f"is not a description: it has none of the keys {', '.join(FORMAT_KEYS)}"
        raise InvalidDescriptionError.at(SourceLocation(root.file.name, 1, ""), reason)
    # References are checked before validation, because the validator's errors for them are less specific.
    if findings := reference_findings(root):
        raise InvalidDescriptionError(findings)
    if (version := version_of(document, openapi.VERSION_KEY, openapi.VERSIONS)) is not None:
        if findings := validate_openapi(root, version, directory.value_at):
            raise InvalidDescriptionError(findings)
        return openapi.read_openapi(root, version)
    if (version := version_of(document, asyncapi.VERSION_KEY, asyncapi.VERSIONS)) is not None:
        return asyncapi.read_asyncapi(root, version)
    raise _unsupported_format_error(root, document)


def _unsupported_format_error(
    root: DocumentNode, document: Mapping[str, JsonValue]
) -> InvalidDescriptionError:
    """Return the error for a description of an unsupported format or version."""
    if SWAGGER_KEY in document:
        key = SWAGGER_KEY
        reason = "Swagger 2.0 is not supported: convert it to OpenAPI 3.0, for example with swagger2openapi"
    else:
        key = next(key for key in FORMAT_KEYS if key in document)
        version = _abbreviated(document[key])
        reason = f"{key} {version} is not supported: use OpenAPI 3.0, 3.1 or 3.2, or AsyncAPI 2.6 or 3.0"
    return InvalidDescriptionError.at(root.file.locate(f"/{key}"), reason)


def _abbreviated(value: JsonValue) -> str:
    """Return a value as JSON on one line, truncated for a finding."""
    text = json.dumps(value, ensure_ascii=False, default=str)
    if len(text) <= MAX_QUOTED_VALUE_CHARACTERS:
        return text
    return text[: MAX_QUOTED_VALUE_CHARACTERS - len(ELLIPSIS)] + ELLIPSIS


def class_policies(settings: Mapping[str, ClassSettings]) -> dict[str, ClassPolicy]:
    """Return the policies of the platform's classes, without overrides."""
    return {
        name: ClassPolicy(
            name=name,
            idempotency=service_class.idempotency,
            deduplication_scope=service_class.deduplication_scope,
            deduplication_window_us=service_class.deduplication_window_us,
            client_deadline_us=service_class.client_deadline_us,
        )
        for name, service_class in settings.items()
    }


def compile_paths(
    paths: Iterable[str | Path],
    operator: OperatorFile | None = None,
    classes: ClassPolicies | None = None,
    max_attempts: int = DEFAULT_MAX_ATTEMPTS,
    strict: bool = False,
) -> Compilation:
    """Read the descriptions at these paths and compile them with the operator's rules.

    `classes` are the platform's classes. If they are not known, it is None, and class names are not checked.
    If `strict` is set, warnings are treated as conflicts.
    Raises InvalidDescriptionError with every conflict.
    """
    operator_rules = read_operator_rules(operator)
    section = operator.settings.descriptions if operator else Descriptions()
    if classes is not None:
        classes = operator_rules.override(classes)
    description_set = read_descriptions(paths)
    options = CompileOptions(max_attempts, section.require_class, strict or section.strict)
    compiled = compile_descriptions(description_set.descriptions, operator_rules.rules, classes, options)
    return Compilation(compiled, description_set)
