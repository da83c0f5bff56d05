"""JSON Schemas of AsyncAPI documents. Performs no I/O.

They constrain only the parts that this package reads, and allow any other content.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import TypeAlias

from wheatstile.descriptions.keywords import DECLARABLE_SCOPE_KEYWORDS, IDEMPOTENCY_KEYWORDS
from wheatstile.descriptions.model import Extension, JsonValue, MessageAction

Schema: TypeAlias = dict[str, JsonValue]


class AsyncApiVersion(StrEnum):
    """A supported version of AsyncAPI. The value is the major and minor version number."""

    VERSION_2 = "2.6"
    VERSION_3 = "3.0"


TEXT: Schema = {"type": "string"}
OBJECT: Schema = {"type": "object"}
REFERENCE: Schema = {"type": "object", "properties": {"$ref": TEXT}, "required": ["$ref"]}
EXTENSIONS: Schema = {
    Extension.CLASS.value: {"type": "string", "minLength": 1},
    Extension.RETRY.value: {"enum": list(IDEMPOTENCY_KEYWORDS.keywords)},
    Extension.BECAUSE.value: TEXT,
    Extension.SCOPE.value: {"enum": list(DECLARABLE_SCOPE_KEYWORDS.keywords)},
    Extension.WINDOW_S.value: {"type": "number", "exclusiveMinimum": 0},
    Extension.TIMEOUT_MS.value: {"type": "number", "exclusiveMinimum": 0},
}
INFO: Schema = {
    "type": "object",
    "required": ["title", "version"],
    "properties": {"title": TEXT, "version": TEXT},
}
TAGS: Schema = {"type": "array", "items": OBJECT}
BINDINGS: Schema = {
    "type": "object",
    "properties": {"nats": {"type": "object", "properties": {"queue": TEXT}}},
}
MESSAGE_OF_VERSION_2: Schema = {
    "type": "object",
    "properties": {"oneOf": {"type": "array", "items": OBJECT, "minItems": 1}},
}
OPERATION_OF_VERSION_2: Schema = {
    "type": "object",
    "properties": {
        "operationId": TEXT,
        "tags": TAGS,
        "bindings": BINDINGS,
        "message": MESSAGE_OF_VERSION_2,
        **EXTENSIONS,
    },
}
CHANNEL_OF_VERSION_2: Schema = {
    "type": "object",
    "properties": {
        "publish": OPERATION_OF_VERSION_2,
        "subscribe": OPERATION_OF_VERSION_2,
        "parameters": OBJECT,
        "servers": {"type": "array", "items": TEXT},
        **EXTENSIONS,
    },
}
CHANNEL_OF_VERSION_3: Schema = {
    "type": "object",
    "properties": {
        "address": {"type": ["string", "null"]},
        "messages": {"type": "object", "additionalProperties": OBJECT},
        "parameters": OBJECT,
        "servers": {"type": "array", "items": REFERENCE},
        **EXTENSIONS,
    },
}
OPERATION_OF_VERSION_3: Schema = {
    "type": "object",
    "anyOf": [
        {"required": ["$ref"]},
        {
            "required": ["action", "channel"],
            "properties": {
                "action": {"enum": [action.value for action in MessageAction]},
                "channel": REFERENCE,
                "messages": {"type": "array", "items": REFERENCE},
                "tags": TAGS,
                "bindings": BINDINGS,
                "reply": OBJECT,
                **EXTENSIONS,
            },
        },
    ],
}
SCHEMAS: Mapping[AsyncApiVersion, Schema] = {
    AsyncApiVersion.VERSION_2: {
        "type": "object",
        "required": ["asyncapi", "info", "channels"],
        "properties": {
            "info": INFO,
            "servers": {"type": "object", "additionalProperties": OBJECT},
            "channels": {"type": "object", "additionalProperties": CHANNEL_OF_VERSION_2},
            **EXTENSIONS,
        },
    },
    AsyncApiVersion.VERSION_3: {
        "type": "object",
        "required": ["asyncapi", "info"],
        "properties": {
            "info": INFO,
            "servers": {"type": "object", "additionalProperties": OBJECT},
            "channels": {"type": "object", "additionalProperties": CHANNEL_OF_VERSION_3},
            "operations": {"type": "object", "additionalProperties": OPERATION_OF_VERSION_3},
            **EXTENSIONS,
        },
    },
}
"""Schemas by AsyncAPI version."""
