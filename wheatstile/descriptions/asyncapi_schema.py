"""JSON Schemas of AsyncAPI documents. They cover the parts that are read here; all else is allowed."""

from collections.abc import Mapping
from typing import TypeAlias

from wheatstile.descriptions.model import DEDUPLICATION_SCOPES, Extension, JsonValue, MessageAction
from wheatstile.interface import Idempotency

Schema: TypeAlias = dict[str, JsonValue]

TEXT: Schema = {"type": "string"}
OBJECT: Schema = {"type": "object"}
REFERENCE: Schema = {"type": "object", "properties": {"$ref": TEXT}, "required": ["$ref"]}
EXTENSIONS: Schema = {
    Extension.CLASS.value: {"type": "string", "minLength": 1},
    Extension.RETRY.value: {"enum": [idempotency.value for idempotency in Idempotency]},
    Extension.BECAUSE.value: TEXT,
    Extension.SCOPE.value: {"enum": [scope.value for scope in DEDUPLICATION_SCOPES]},
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
SCHEMAS: Mapping[str, Schema] = {
    "2.6": {
        "type": "object",
        "required": ["asyncapi", "info", "channels"],
        "properties": {
            "info": INFO,
            "servers": {"type": "object", "additionalProperties": OBJECT},
            "channels": {"type": "object", "additionalProperties": CHANNEL_OF_VERSION_2},
            **EXTENSIONS,
        },
    },
    "3.0": {
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
"""Schemas by the version of the document."""
