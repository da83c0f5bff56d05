"""Reads the operations of AsyncAPI 2.6 and 3.0 documents, with the retry safety of each. Performs no I/O.

As in AsyncAPI 3.0, `send` and `receive` are actions of the application that the document describes. In
AsyncAPI 2.6, the keys are actions of its peers: `publish` (peers may publish) is read as `receive`, and
`subscribe` as `send`.
"""

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial

from jsonschema import Draft202012Validator

from wheatstile.descriptions.asyncapi_schema import SCHEMAS, AsyncApiVersion
from wheatstile.descriptions.document import MAX_SCHEMA_FINDINGS, build_description, schema_finding
from wheatstile.descriptions.extensions import retry_extension_of, service_class_of, timeout_of
from wheatstile.descriptions.findings import InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS
from wheatstile.descriptions.model import (
    Description,
    Extension,
    JsonValue,
    Message,
    MessageAction,
    Operation,
    OperationKind,
    RetrySafety,
)
from wheatstile.descriptions.references import DocumentNode
from wheatstile.descriptions.schema_size import discriminator_of, max_json_bytes
from wheatstile.interface import Idempotency

VERSION_KEY = "asyncapi"
VERSIONS = tuple(AsyncApiVersion)
ACTIONS_OF_VERSION_2: Mapping[str, MessageAction] = {
    "publish": MessageAction.RECEIVE,
    "subscribe": MessageAction.SEND,
}
PARAMETER = re.compile(r"\{([^{}]*)\}")
ANY_TOKEN = "*"
SUBJECT_SEPARATOR = "."
PATH_SEPARATOR = "/"  # separates the tokens of an address that is a path


@dataclass(frozen=True, slots=True)
class _OperationSource:
    """The nodes and names of one operation, independent of the AsyncAPI version."""

    action: str
    address: str
    name: str
    channel: DocumentNode
    operation: DocumentNode
    messages: list[DocumentNode]
    reply: str = ""  # address of the channel for replies; empty: none


def read_asyncapi(root: DocumentNode, version: str) -> Description:
    """Return the operations of a document.

    The version is one of VERSIONS. Raises InvalidDescriptionError with every finding.
    """
    asyncapi_version = AsyncApiVersion(version)
    validator = Draft202012Validator(SCHEMAS[asyncapi_version])
    findings = [schema_finding(error, root.file.locate) for error in validator.iter_errors(root.value)]
    if findings:
        raise InvalidDescriptionError(findings[:MAX_SCHEMA_FINDINGS])
    sources = OPERATION_READERS[asyncapi_version](root)
    builders = (partial(_operation, root, source) for source in sources)
    return build_description(root, f"asyncapi {version}", builders)


def _operations_of_version_2(root: DocumentNode) -> Iterator[_OperationSource]:
    for address, channel in _members(root, "channels"):
        for key, action in ACTIONS_OF_VERSION_2.items():
            if (node := channel.get(key)) is not None:
                yield _OperationSource(
                    action=action,
                    address=address,
                    name=node.get_text("operationId"),
                    channel=channel,
                    operation=node,
                    messages=_messages_of_version_2(node),
                )


def _messages_of_version_2(operation: DocumentNode) -> list[DocumentNode]:
    message = operation.get("message")
    if message is None:
        return []
    alternatives = message.get("oneOf")
    return [alternative for _, alternative in alternatives.items()] if alternatives else [message]


def _operations_of_version_3(root: DocumentNode) -> Iterator[_OperationSource]:
    for name, node in _members(root, "operations"):
        channel = node.get("channel")
        if channel is None:  # possible if the operation is a reference: the schema does not check its target
            raise InvalidDescriptionError.at(node.location, "has no channel")
        messages = node.get("messages") or channel.get("messages")
        reply = node.get("reply")
        reply_channel = reply.get("channel") if reply else None
        yield _OperationSource(
            action=node.get_text("action"),
            address=_address(channel),
            name=name,
            channel=channel,
            operation=node,
            messages=[message for _, message in messages.items()] if messages else [],
            reply=_address(reply_channel) if reply_channel else "",
        )


OPERATION_READERS: Mapping[AsyncApiVersion, Callable[[DocumentNode], Iterator[_OperationSource]]] = {
    AsyncApiVersion.VERSION_2: _operations_of_version_2,
    AsyncApiVersion.VERSION_3: _operations_of_version_3,
}


def _address(channel: DocumentNode) -> str:
    """Return the address of a channel, or its name if the address is only known at run time."""
    return channel.get_text("address") or channel.name


def _operation(root: DocumentNode, source: _OperationSource) -> Operation:
    node = source.operation
    assigned_class = service_class_of(node, source.channel, root)
    declared_timeout = timeout_of(node, source.channel, root)
    tags = [tag.get_text("name") for _, tag in _members(node, "tags")]
    bindings = node.get("bindings")
    nats = bindings.get("nats") if bindings else None
    return Operation(
        kind=OperationKind.MESSAGE,
        action=source.action,
        route=subject_of(source.address, source.channel.location),
        id=source.name,
        location=node.location,
        retry_safety=_retry_safety(source, root),
        tags=tuple(tag for tag in tags if tag),
        channel=source.address,
        servers=tuple(_servers(root, source.channel)),
        queue_group=nats.get_text("queue") if nats else "",
        messages=tuple(_message(message) for message in source.messages),
        reply=source.reply,
        service_class=assigned_class.name,
        class_location=assigned_class.location,
        timeout_us=declared_timeout.timeout_us,
        timeout_location=declared_timeout.location,
        bindings=_object(bindings),
    )


def _object(node: DocumentNode | None) -> Mapping[str, JsonValue]:
    return node.value if node and isinstance(node.value, dict) else {}


def _members(node: DocumentNode, key: str) -> list[tuple[str, DocumentNode]]:
    container = node.get(key)
    return container.items() if container else []


def _servers(root: DocumentNode, channel: DocumentNode) -> Iterator[str]:
    """Yield the URLs of the channel's servers, or of all servers if the channel lists none."""
    references = [reference for _, reference in _members(channel, "servers")]
    for name, server in _members(root, "servers"):
        # In AsyncAPI 2.6, a channel lists the names of its servers; in 3.0, it lists references to them.
        is_named = any(
            reference.value == name or reference.pointer == server.pointer for reference in references
        )
        if is_named or not references:
            yield f"{server.get_text('protocol')}://{server.get_text('host') or server.get_text('url')}"


def _message(node: DocumentNode) -> Message:
    schema = node.get("payload")
    if schema and isinstance(schema.value, dict) and "schemaFormat" in schema.value:
        schema = schema.get("schema")
    return Message(
        name=node.get_text("name") or node.pointer.rpartition("/")[2],
        location=node.location,
        discriminator=discriminator_of(schema),
        max_bytes=max_json_bytes(schema),
        content_type=node.get_text("contentType"),
    )


def _retry_safety(source: _OperationSource, root: DocumentNode) -> RetrySafety:
    """Return the retry safety that the extension declares; NON_IDEMPOTENT if there is no extension.

    AsyncAPI itself does not define idempotency.
    """
    location = source.operation.location
    extension = retry_extension_of(source.operation, source.channel, root)
    if extension is None:
        reason = f"AsyncAPI does not define idempotency, and there is no {Extension.RETRY}"
        return RetrySafety(Idempotency.NON_IDEMPOTENT, reason, location)
    if extension.lacks_reason:
        safe = IDEMPOTENCY_KEYWORDS.keyword(Idempotency.IDEMPOTENT)
        reason = (
            f"declares {safe}, but AsyncAPI does not define idempotency: "
            f"give the reason in {Extension.BECAUSE}"
        )
        raise InvalidDescriptionError.at(extension.location, reason, location)
    return extension.retry_safety()


def subject_of(address: str, location: SourceLocation) -> str:
    """Convert an address to a subject pattern, in which each parameter is the token `*`.

    Raises InvalidDescriptionError if a token is empty, or if a parameter is only a part of a token.
    """
    separator = PATH_SEPARATOR if PATH_SEPARATOR in address else SUBJECT_SEPARATOR
    tokens = []
    for token in address.split(separator):
        if PARAMETER.fullmatch(token):
            tokens.append(ANY_TOKEN)
        elif PARAMETER.search(token) or not token:
            reason = (
                f'"{address}" is not a valid address: a parameter must be a whole token between '
                f'"{separator}" separators, and no token may be empty'
            )
            raise InvalidDescriptionError.at(location, reason)
        else:
            tokens.append(token)
    return SUBJECT_SEPARATOR.join(tokens)
