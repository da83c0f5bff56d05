"""AsyncAPI 2.6 and 3.0: channels, who sends what on them, and what that says of being repeated. Pure.

`send` and `receive` are from the application's view, the one that the document describes: what it sends,
others receive. 3.0 says so; 2.6 says the reverse, and its `publish` (others may publish) is read as
`receive`, its `subscribe` as `send`.
"""

import re
from collections.abc import Iterator
from functools import partial
from typing import Any

from jsonschema import Draft202012Validator

from wheatstile.descriptions import common
from wheatstile.descriptions.asyncapi_schema import SCHEMAS
from wheatstile.descriptions.model import (
    Description,
    DescriptionError,
    Finding,
    Message,
    Operation,
    Place,
    Verdict,
)
from wheatstile.descriptions.refs import Located

SENSE_2 = {"publish": "receive", "subscribe": "send"}
PARAMETER = re.compile(r"\{([^{}]*)\}")


def version_of(value: Any) -> str | None:
    """ "2.6" or "3.0"; None if this is no AsyncAPI document of those."""
    found = value.get("asyncapi") if isinstance(value, dict) else None
    match = re.fullmatch(r"(2\.6|3\.0)\.\d+(-.*)?", found) if isinstance(found, str) else None
    return match[1] if match else None


def read(root: Located, version: str) -> Description:
    """The operations of one document. Raises DescriptionError with every fault found."""
    validator = Draft202012Validator(SCHEMAS[version])
    findings = [common.schema_finding(error, root.text.place) for error in validator.iter_errors(root.value)]
    if findings:
        raise DescriptionError(findings[:100])
    found = _operations_2(root) if version == "2.6" else _operations_3(root)
    return common.described(root, f"asyncapi {version}", (partial(_operation, root, *one) for one in found))


_Found = tuple[str, str, str, Located, Located, list[Located], str]  # what an operation is made of


def _operations_2(root: Located) -> Iterator[_Found]:
    channels = root.get("channels")
    for address, channel in channels.items() if channels else ():
        for word, action in SENSE_2.items():
            if (at := channel.get(word)) is not None:
                message = at.get("message")
                several = message.get("oneOf") if message else None
                messages = [one for _, one in several.items()] if several else [message] if message else []
                yield action, address, at.text_of("operationId"), channel, at, messages, ""


def _operations_3(root: Located) -> Iterator[_Found]:
    operations = root.get("operations")
    for name, at in operations.items() if operations else ():
        channel = at.get("channel")
        assert channel  # by the schema
        address = _address(channel)
        messages = at.get("messages") or channel.get("messages")
        reply = at.get("reply")
        answers = reply.get("channel") if reply else None
        found = [one for _, one in messages.items()] if messages else []
        yield at.text_of("action"), address, name, channel, at, found, _address(answers) if answers else ""


def _address(channel: Located) -> str:
    """A channel's address; one without is named by its place, as it is only known while running."""
    return channel.text_of("address") or channel.pointer.rpartition("/")[2].replace("~1", "/").replace(
        "~0", "~"
    )


def _operation(
    root: Located,
    action: str,
    address: str,
    name: str,
    channel: Located,
    at: Located,
    messages: list[Located],
    reply: str,
) -> Operation:
    service_class, class_place = common.class_of(at, channel, root)
    timeout, timeout_place = common.timeout_of(at, channel, root)
    tags = [one.text_of("name") for _, one in _members(at, "tags")]
    bindings = at.get("bindings")
    nats = bindings.get("nats") if bindings else None
    return Operation(
        "message",
        action,
        subject_of(address, channel.place),
        name,
        at.place,
        _verdict(at, channel, root),
        tuple(tag for tag in tags if tag),
        channel=address,
        servers=tuple(_servers(root, channel)),
        queue_group=nats.text_of("queue") if nats else "",
        messages=tuple(_message(one) for one in messages),
        reply=reply,
        service_class=service_class,
        class_place=class_place,
        timeout=timeout,
        timeout_place=timeout_place,
        bindings=bindings.value if bindings and isinstance(bindings.value, dict) else {},
    )


def _members(at: Located, key: str) -> list[tuple[str, Located]]:
    found = at.get(key)
    return found.items() if found else []


def _servers(root: Located, channel: Located) -> Iterator[str]:
    """The protocols and hosts of the channel's servers, of all servers where it names none."""
    chosen = _members(channel, "servers")
    for name, one in _members(root, "servers"):
        named = not chosen or any(
            server.value == name or server.pointer == one.pointer for _, server in chosen
        )
        if named:
            yield f"{one.text_of('protocol')}://{one.text_of('host') or one.text_of('url')}"


def _message(at: Located) -> Message:
    payload = at.get("payload")
    if payload and isinstance(payload.value, dict) and "schemaFormat" in payload.value:
        payload = payload.get("schema")
    discriminator, most = common.schema_facts(payload)
    name = at.text_of("name") or at.pointer.rpartition("/")[2]
    return Message(name, at.place, discriminator, most, at.text_of("contentType"))


def _verdict(at: Located, channel: Located, root: Located) -> Verdict:
    told = common.repeat_of(at, channel, root)
    if told is None:
        return Verdict(
            "unsafe", f"AsyncAPI says nothing of repeating, and there is no {common.REPEAT}", at.place
        )
    if told.repeat == "safe" and not told.because:
        reason = f"says safe, which nothing in AsyncAPI bears out: say why in {common.BECAUSE}"
        raise DescriptionError([Finding(told.place, reason, at.place)])
    because = f": {told.because}" if told.because else ""
    return Verdict(
        told.repeat, f"{common.REPEAT} says {told.repeat}{because}", told.place, told.scope, told.window
    )


def subject_of(address: str, place: Place) -> str:
    """The address as a subject pattern: each parameter is one token, `*`. Raises DescriptionError."""
    separator = "/" if "/" in address else "."
    tokens = []
    for token in address.split(separator):
        if PARAMETER.fullmatch(token):
            tokens.append("*")
        elif PARAMETER.search(token) or not token:
            reason = f'"{address}": a parameter is a whole token between "{separator}", and no token is empty'
            raise DescriptionError([Finding(place, reason)])
        else:
            tokens.append(token)
    return ".".join(tokens)
