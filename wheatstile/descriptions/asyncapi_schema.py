"""JSON Schemas of the parts of AsyncAPI documents that are used here; what is not used is not judged."""

from typing import Any

_TEXT: dict[str, Any] = {"type": "string"}
_NAMED = {"type": "object"}
_REF: dict[str, Any] = {"type": "object", "properties": {"$ref": _TEXT}, "required": ["$ref"]}
_EXTENSIONS = {
    "x-wheatstile-class": {"type": "string", "minLength": 1},
    "x-wheatstile-repeat": {"enum": ["safe", "keyed", "unsafe"]},
    "x-wheatstile-because": _TEXT,
    "x-wheatstile-scope": {"enum": ["all", "zone", "cell"]},
    "x-wheatstile-window-s": {"type": "number", "exclusiveMinimum": 0},
    "x-wheatstile-timeout-ms": {"type": "number", "exclusiveMinimum": 0},
}
_INFO = {"type": "object", "required": ["title", "version"], "properties": {"title": _TEXT, "version": _TEXT}}
_TAGS = {"type": "array", "items": {"type": "object"}}
_BINDINGS = {"type": "object", "properties": {"nats": {"type": "object", "properties": {"queue": _TEXT}}}}
_MESSAGE_2 = {"type": "object", "properties": {"oneOf": {"type": "array", "items": _NAMED, "minItems": 1}}}
_OPERATION_2 = {
    "type": "object",
    "properties": {
        "operationId": _TEXT, "tags": _TAGS, "bindings": _BINDINGS, "message": _MESSAGE_2, **_EXTENSIONS,
    },
}  # fmt: skip
_CHANNEL_2 = {
    "type": "object",
    "properties": {
        "publish": _OPERATION_2,
        "subscribe": _OPERATION_2,
        "parameters": _NAMED,
        "servers": {"type": "array", "items": _TEXT},
        **_EXTENSIONS,
    },
}
_CHANNEL_3 = {
    "type": "object",
    "properties": {
        "address": {"type": ["string", "null"]},
        "messages": {"type": "object", "additionalProperties": _NAMED},
        "parameters": _NAMED,
        "servers": {"type": "array", "items": _REF},
        **_EXTENSIONS,
    },
}
_OPERATION_3 = {
    "type": "object",
    "anyOf": [
        {"required": ["$ref"]},
        {
            "required": ["action", "channel"],
            "properties": {
                "action": {"enum": ["send", "receive"]},
                "channel": _REF,
                "messages": {"type": "array", "items": _REF},
                "tags": _TAGS,
                "bindings": _BINDINGS,
                "reply": _NAMED,
                **_EXTENSIONS,
            },
        },
    ],
}
SCHEMAS: dict[str, dict[str, Any]] = {
    "2.6": {
        "type": "object",
        "required": ["asyncapi", "info", "channels"],
        "properties": {
            "info": _INFO,
            "servers": {"type": "object", "additionalProperties": _NAMED},
            "channels": {"type": "object", "additionalProperties": _CHANNEL_2},
            **_EXTENSIONS,
        },
    },
    "3.0": {
        "type": "object",
        "required": ["asyncapi", "info"],
        "properties": {
            "info": _INFO,
            "servers": {"type": "object", "additionalProperties": _NAMED},
            "channels": {"type": "object", "additionalProperties": _CHANNEL_3},
            "operations": {"type": "object", "additionalProperties": _OPERATION_3},
            **_EXTENSIONS,
        },
    },
}
