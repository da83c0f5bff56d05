"""Reads the operations of OpenAPI 3.0, 3.1 and 3.2 documents, with the retry safety of each.

Performs no I/O.
"""

from collections.abc import Iterator, Mapping
from enum import StrEnum
from functools import partial

from wheatstile.descriptions.document import build_description
from wheatstile.descriptions.extensions import (
    RetryExtension,
    deduplication_of,
    retry_extension_of,
    service_class_of,
    timeout_of,
)
from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS
from wheatstile.descriptions.model import (
    Description,
    Extension,
    HttpMethod,
    Message,
    Operation,
    OperationKind,
    RetrySafety,
)
from wheatstile.descriptions.references import DocumentNode
from wheatstile.descriptions.schema_size import discriminator_of, max_json_bytes
from wheatstile.interface import Idempotency

VERSION_KEY = "openapi"
VERSIONS = ("3.0", "3.1", "3.2")


class MethodProperty(StrEnum):
    """A property of an HTTP method that allows retries. The values are the terms of RFC 9110."""

    SAFE = "safe"
    IDEMPOTENT = "idempotent"


METHOD_PROPERTIES: Mapping[HttpMethod, MethodProperty] = {
    HttpMethod.GET: MethodProperty.SAFE,
    HttpMethod.HEAD: MethodProperty.SAFE,
    HttpMethod.OPTIONS: MethodProperty.SAFE,
    HttpMethod.TRACE: MethodProperty.SAFE,
    HttpMethod.QUERY: MethodProperty.SAFE,  # according to the draft standard of the QUERY method
    HttpMethod.PUT: MethodProperty.IDEMPOTENT,
    HttpMethod.DELETE: MethodProperty.IDEMPOTENT,
}
"""Methods that are safe or idempotent (RFC 9110, sections 9.2.1 and 9.2.2)."""

IDEMPOTENCY_KEY_HEADER = "idempotency-key"  # lower case, because header names are compared case-insensitively
HEADER_PARAMETER = "header"  # value of a parameter's "in"


def read_openapi(root: DocumentNode, version: str) -> Description:
    """Return the operations of a document. Raises InvalidDescriptionError with every finding."""
    paths = root.get("paths")
    builders = [
        partial(_operation, root, path, path_item, method, unresolved)
        for path, path_item in (paths.items() if paths else ())
        for method in HttpMethod
        if (unresolved := path_item.get_unresolved(method.lower())) is not None
    ]
    return build_description(root, f"openapi {version}", builders)


def _operation(
    root: DocumentNode, path: str, path_item: DocumentNode, method: HttpMethod, unresolved: DocumentNode
) -> Operation:
    node = unresolved.resolved()
    if not path.startswith("/"):
        raise InvalidDescriptionError.at(path_item.location, f'the path "{path}" does not begin with /')
    servers = node.get("servers") or path_item.get("servers") or root.get("servers")
    assigned_class = service_class_of(node, path_item, root)
    declared_timeout = timeout_of(node, path_item, root)
    return Operation(
        kind=OperationKind.HTTP,
        action=method,
        route=path,
        id=node.get_text("operationId"),
        location=node.location,
        retry_safety=_retry_safety(method, path_item, node, root),
        tags=_tags(node),
        servers=tuple(server.get_text("url") for _, server in servers.items()) if servers else (),
        messages=tuple(_request_bodies(node)),
        service_class=assigned_class.name,
        class_location=assigned_class.location,
        timeout_us=declared_timeout.timeout_us,
        timeout_location=declared_timeout.location,
    )


def _tags(operation: DocumentNode) -> tuple[str, ...]:
    tags = operation.get("tags")
    if tags is None or not isinstance(tags.value, list):
        return ()
    return tuple(tag for tag in tags.value if isinstance(tag, str))


def _retry_safety(
    method: HttpMethod, path_item: DocumentNode, operation: DocumentNode, root: DocumentNode
) -> RetrySafety:
    """Return the retry safety of an operation.

    The first of these sources that applies determines it: the extension, the method, and an Idempotency-Key
    parameter. The name of the operation is not considered.
    """
    method_property = METHOD_PROPERTIES.get(method)
    if extension := retry_extension_of(operation, path_item, root):
        if extension.lacks_reason and method_property is None:
            raise _missing_reason_error(method, extension, operation)
        return extension.retry_safety()
    if method_property:
        reason = f"{method} is {method_property} (RFC 9110)"
        return RetrySafety(Idempotency.IDEMPOTENT, reason, operation.location)
    for parameter in _parameters(path_item, operation):
        if _is_idempotency_key(parameter):
            return _keyed_retry_safety(parameter, operation)
    reason = f"{method} is not idempotent (RFC 9110), and the description declares nothing else"
    return RetrySafety(Idempotency.NON_IDEMPOTENT, reason, operation.location)


def _missing_reason_error(
    method: HttpMethod, extension: RetryExtension, operation: DocumentNode
) -> InvalidDescriptionError:
    """Return the error for an extension that contradicts the method without giving a reason."""
    safe = IDEMPOTENCY_KEYWORDS.keyword(Idempotency.IDEMPOTENT)
    alternatives = IDEMPOTENCY_KEYWORDS.without(Idempotency.IDEMPOTENT).keywords
    reason = (
        f"declares {safe}, but {method} is not idempotent (RFC 9110): give the reason in "
        f"{Extension.BECAUSE}, or declare {' or '.join(alternatives)}"
    )
    return InvalidDescriptionError.at(extension.location, reason, operation.location)


def _is_idempotency_key(parameter: DocumentNode) -> bool:
    is_header = parameter.get_text("in") == HEADER_PARAMETER
    return is_header and parameter.get_text("name").lower() == IDEMPOTENCY_KEY_HEADER


def _keyed_retry_safety(parameter: DocumentNode, operation: DocumentNode) -> RetrySafety:
    """Return the retry safety of an operation with an Idempotency-Key parameter.

    It is NON_IDEMPOTENT if the parameter is optional, because a request may then lack the key.
    """
    deduplication = deduplication_of(parameter, operation)
    required = parameter.get("required")
    if required is None or required.value is not True:
        reason = "its Idempotency-Key is optional, so a request may lack it"
        return RetrySafety(Idempotency.NON_IDEMPOTENT, reason, parameter.location)
    return RetrySafety(
        Idempotency.IDEMPOTENCY_KEY,
        "it requires an Idempotency-Key",
        parameter.location,
        deduplication.scope,
        deduplication.window_us,
    )


def _parameters(path_item: DocumentNode, operation: DocumentNode) -> Iterator[DocumentNode]:
    """Yield the operation's own parameters, then those of its path."""
    for holder in (operation, path_item):
        parameters = holder.get("parameters")
        for _, parameter in parameters.items() if parameters else ():
            yield parameter


def _request_bodies(operation: DocumentNode) -> Iterator[Message]:
    """Yield one message for each media type of the request body."""
    body = operation.get("requestBody")
    content = body.get("content") if body else None
    name = operation.get_text("operationId") or "body"
    for content_type, media in content.items() if content else ():
        schema = media.get("schema")
        yield Message(name, media.location, discriminator_of(schema), max_json_bytes(schema), content_type)
