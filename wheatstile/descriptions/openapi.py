"""OpenAPI 3.0, 3.1 and 3.2: the operations of a document, and whether each may be retried. Pure."""

from collections.abc import Iterator, Mapping
from functools import partial

from wheatstile.descriptions.document import build_description
from wheatstile.descriptions.extensions import (
    deduplication_of,
    retry_extension_of,
    service_class_of,
    timeout_of,
)
from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.model import (
    Description,
    Extension,
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
METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace", "query")
SAFE = "safe"  # the words of RFC 9110, for messages
IDEMPOTENT = "idempotent"
METHOD_PROPERTIES: Mapping[str, str] = {
    "GET": SAFE,
    "HEAD": SAFE,
    "OPTIONS": SAFE,
    "TRACE": SAFE,
    "QUERY": SAFE,  # by its own draft
    "PUT": IDEMPOTENT,
    "DELETE": IDEMPOTENT,
}
"""Methods whose repetition has no further effect (RFC 9110, 9.2.1 and 9.2.2)."""

KEY_LOCATION = "header"
KEY_HEADER = "idempotency-key"


def read_openapi(root: DocumentNode, version: str) -> Description:
    """Return the operations of a document. Raises InvalidDescriptionError with every finding."""
    paths = root.get("paths")
    builders = [
        partial(_operation, root, path, path_item, method.upper(), unresolved)
        for path, path_item in (paths.items() if paths else ())
        for method in METHODS
        if (unresolved := path_item.get_unresolved(method)) is not None
    ]
    return build_description(root, f"openapi {version}", builders)


def _operation(
    root: DocumentNode, path: str, path_item: DocumentNode, method: str, unresolved: DocumentNode
) -> Operation:
    node = unresolved.resolved()
    if not path.startswith("/"):
        raise InvalidDescriptionError.at(path_item.location, f'the path "{path}" does not begin with /')
    servers = node.get("servers") or path_item.get("servers") or root.get("servers")
    service_class, class_location = service_class_of(node, path_item, root)
    timeout_us, timeout_location = timeout_of(node, path_item, root)
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
        service_class=service_class,
        class_location=class_location,
        timeout_us=timeout_us,
        timeout_location=timeout_location,
    )


def _tags(operation: DocumentNode) -> tuple[str, ...]:
    tags = operation.get("tags")
    if tags is None or not isinstance(tags.value, list):
        return ()
    return tuple(tag for tag in tags.value if isinstance(tag, str))


def _retry_safety(
    method: str, path_item: DocumentNode, operation: DocumentNode, root: DocumentNode
) -> RetrySafety:
    """By the extension, else by the method, else by an Idempotency-Key parameter; never by a name."""
    extension = retry_extension_of(operation, path_item, root)
    method_property = METHOD_PROPERTIES.get(method)
    if extension:
        if extension.lacks_reason and method_property is None:
            reason = (
                f"says safe, but {method} has an effect each time (RFC 9110): say why in "
                f"{Extension.BECAUSE}, or say keyed or unsafe"
            )
            raise InvalidDescriptionError.at(extension.location, reason, operation.location)
        return extension.retry_safety()
    if method_property:
        reason = f"{method} is {method_property} (RFC 9110)"
        return RetrySafety(Idempotency.IDEMPOTENT, reason, operation.location)
    for parameter in _parameters(path_item, operation):
        if _is_idempotency_key(parameter):
            return _keyed_retry_safety(parameter, operation)
    reason = f"{method} is not idempotent (RFC 9110), and nothing else is said"
    return RetrySafety(Idempotency.NON_IDEMPOTENT, reason, operation.location)


def _is_idempotency_key(parameter: DocumentNode) -> bool:
    return parameter.get_text("in") == KEY_LOCATION and parameter.get_text("name").lower() == KEY_HEADER


def _keyed_retry_safety(parameter: DocumentNode, operation: DocumentNode) -> RetrySafety:
    """Allow retries of an operation with an Idempotency-Key only if every request must carry one."""
    deduplication = deduplication_of(parameter, operation)
    required = parameter.get("required")
    if required is None or required.value is not True:
        reason = "its Idempotency-Key is optional, so a request may lack it"
        return RetrySafety(Idempotency.NON_IDEMPOTENT, reason, parameter.location)
    return RetrySafety(
        Idempotency.IDEMPOTENCY_KEY,
        "it carries an Idempotency-Key",
        parameter.location,
        deduplication.scope,
        deduplication.window_us,
    )


def _parameters(path_item: DocumentNode, operation: DocumentNode) -> Iterator[DocumentNode]:
    """Return the operation's own parameters, then those of its path."""
    for holder in (operation, path_item):
        parameters = holder.get("parameters")
        for _, parameter in parameters.items() if parameters else ():
            yield parameter


def _request_bodies(operation: DocumentNode) -> Iterator[Message]:
    """One message for each media type of the request body."""
    body = operation.get("requestBody")
    content = body.get("content") if body else None
    name = operation.get_text("operationId") or "body"
    for content_type, media in content.items() if content else ():
        schema = media.get("schema")
        yield Message(name, media.location, discriminator_of(schema), max_json_bytes(schema), content_type)
