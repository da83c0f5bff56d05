"""AsyncAPI 2.6 and 3.0: channels, what the application does on them, and whether it may be retried. Pure.

`send` and `receive` are from the view of the application that the document describes, as in AsyncAPI 3.0.
In 2.6 the verbs are those of the others: `publish` (others may publish) is read as `receive`, `subscribe` as
`send`.
"""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import partial

from jsonschema import Draft202012Validator

from wheatstile.descriptions.asyncapi_schema import SCHEMAS
from wheatstile.descriptions.document import MAX_SCHEMA_FINDINGS, build_description, schema_finding
from wheatstile.descriptions.extensions import retry_extension_of, service_class_of, timeout_of
from wheatstile.descriptions.findings import InvalidDescriptionError, SourceLocation
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
VERSION_2 = "2.6"
VERSION_3 = "3.0"
VERSIONS = (VERSION_2, VERSION_3)
ACTIONS_OF_VERSION_2: Mapping[str, MessageAction] = {
    "publish": MessageAction.RECEIVE,
    "subscribe": MessageAction.SEND,
}
PARAMETER = re.compile(r"\{([^{}]*)\}")
ANY_TOKEN = "*"
SUBJECT_SEPARATOR = "."
ADDRESS_SEPARATOR = "/"  # of addresses that are paths; others are separated as subjects are


@dataclass(frozen=True, slots=True)
class _OperationSource:
    """Where the parts of one operation stand in a document of either version."""

    action: str
    address: str
    name: str
    channel: DocumentNode
    operation: DocumentNode
    messages: list[DocumentNode]
    reply: str = ""  # address of the channel for replies


def read_asyncapi(root: DocumentNode, version: str) -> Description:
    """Return the operations of a document. Raises InvalidDescriptionError with every finding."""
    validator = Draft202012Validator(SCHEMAS[version])
    findings = [schema_finding(error, root.file.locate) for error in validator.iter_errors(root.value)]
    if findings:
        raise InvalidDescriptionError(findings[:MAX_SCHEMA_FINDINGS])
    sources = _operations_of_version_2(root) if version == VERSION_2 else _operations_of_version_3(root)
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
        if channel is None:  # the schema does not follow an operation that is a reference
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


def _address(channel: DocumentNode) -> str:
    """Return a channel's address; a channel without one (known only at run time) goes by its own name."""
    return channel.get_text("address") or channel.name


def _operation(root: DocumentNode, source: _OperationSource) -> Operation:
    node = source.operation
    service_class, class_location = service_class_of(node, source.channel, root)
    timeout_us, timeout_location = timeout_of(node, source.channel, root)
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
        service_class=service_class,
        class_location=class_location,
        timeout_us=timeout_us,
        timeout_location=timeout_location,
        bindings=_object(bindings),
    )


def _object(node: DocumentNode | None) -> Mapping[str, JsonValue]:
    return node.value if node and isinstance(node.value, dict) else {}


def _members(node: DocumentNode, key: str) -> list[tuple[str, DocumentNode]]:
    container = node.get(key)
    return container.items() if container else []


def _servers(root: DocumentNode, channel: DocumentNode) -> Iterator[str]:
    """URLs of the channel's servers; of all servers of the document if the channel names none."""
    references = [reference for _, reference in _members(channel, "servers")]
    for name, server in _members(root, "servers"):
        # 2.6 names a server, 3.0 refers to it.
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
    """By the extension alone: AsyncAPI itself says nothing of retries."""
    location = source.operation.location
    extension = retry_extension_of(source.operation, source.channel, root)
    if extension is None:
        reason = f"AsyncAPI says nothing of repeating, and there is no {Extension.RETRY}"
        return RetrySafety(Idempotency.NON_IDEMPOTENT, reason, location)
    if extension.lacks_reason:
        reason = f"says safe, which nothing in AsyncAPI bears out: say why in {Extension.BECAUSE}"
        raise InvalidDescriptionError.at(extension.location, reason, location)
    return extension.retry_safety()


def subject_of(address: str, location: SourceLocation) -> str:
    """Return the address as a subject pattern, in which each parameter is the token `*`.

    Raises InvalidDescriptionError at the location if a token is empty or only partly a parameter.
    """
    separator = ADDRESS_SEPARATOR if ADDRESS_SEPARATOR in address else SUBJECT_SEPARATOR
    tokens = []
    for token in address.split(separator):
        if PARAMETER.fullmatch(token):
            tokens.append(ANY_TOKEN)
        elif PARAMETER.search(token) or not token:
            reason = f'"{address}": a parameter is a whole token between "{separator}", and no token is empty'
            raise InvalidDescriptionError.at(location, reason)
        else:
            tokens.append(token)
    return SUBJECT_SEPARATOR.join(tokens)
