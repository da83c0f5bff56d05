"""OpenAPI 3.0, 3.1 and 3.2: which operations there are, and what each says of being repeated. Pure."""

import re
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from typing import Any

from wheatstile.descriptions import common
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

METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace", "query")
# RFC 9110, 9.2.1 and 9.2.2: the effect of several is that of one. QUERY is safe by its own draft.
IDEMPOTENT = {
    "GET": "safe", "HEAD": "safe", "OPTIONS": "safe", "TRACE": "safe", "QUERY": "safe",
    "PUT": "idempotent", "DELETE": "idempotent",
}  # fmt: skip
KEY_HEADER = "idempotency-key"
TEMPLATE = re.compile(r"\{([^{}]*)\}")


def version_of(value: Any) -> str | None:
    """ "3.0", "3.1" or "3.2"; None if this is no OpenAPI document of those."""
    found = value.get("openapi") if isinstance(value, dict) else None
    match = re.fullmatch(r"(3\.[012])\.\d+(-.*)?", found) if isinstance(found, str) else None
    return match[1] if match else None


def read(root: Located, version: str) -> Description:
    """The operations of one document. Raises DescriptionError with every fault found."""
    paths = root.get("paths")
    makers = [
        partial(_operation, root, path, item, method.upper(), raw)
        for path, item in (paths.items() if paths else ())
        for method in METHODS
        if (raw := item.raw(method)) is not None
    ]
    return common.described(root, f"openapi {version}", makers)


def _operation(root: Located, path: str, item: Located, method: str, raw: Located) -> Operation:
    at = raw.followed()
    if not path.startswith("/"):
        raise DescriptionError([Finding(item.place, f'the path "{path}" does not begin with /')])
    servers = at.get("servers") or item.get("servers") or root.get("servers")
    tags = at.get("tags")
    service_class, class_place = common.class_of(at, item, root)
    timeout, timeout_place = common.timeout_of(at, item, root)
    return Operation(
        "http",
        method,
        path,
        at.text_of("operationId"),
        at.place,
        _verdict(method, item, at, root),
        tuple(tag for tag in tags.value if isinstance(tag, str))
        if tags and isinstance(tags.value, list)
        else (),
        servers=tuple(one.text_of("url") for _, one in servers.items()) if servers else (),
        messages=tuple(_bodies(at)),
        service_class=service_class,
        class_place=class_place,
        timeout=timeout,
        timeout_place=timeout_place,
    )


def _verdict(method: str, item: Located, at: Located, root: Located) -> Verdict:
    """By the extension, else by an Idempotency-Key parameter, else by the method; never by a name."""
    told = common.repeat_of(at, item, root)
    effect = IDEMPOTENT.get(method)
    if told:
        if told.repeat == "safe" and effect is None and not told.because:
            raise DescriptionError(
                [
                    Finding(
                        told.place,
                        f"says safe, but {method} has an effect each time (RFC 9110): say why in "
                        "x-wheatstile-because, or say keyed or unsafe",
                        at.place,
                    )
                ]
            )
        why = f"{common.REPEAT} says {told.repeat}" + (f": {told.because}" if told.because else "")
        return Verdict(told.repeat, why, told.place, told.scope, told.window)
    if effect:
        return Verdict("safe", f"{method} is {effect} (RFC 9110)", at.place)
    for parameter in _parameters(item, at):
        if parameter.text_of("in") == "header" and parameter.text_of("name").lower() == KEY_HEADER:
            scope, window = common.scope_and_window(parameter, at)
            required = parameter.get("required")
            if required and required.value is True:
                return Verdict("keyed", "it carries an Idempotency-Key", parameter.place, scope, window)
            return Verdict(
                "unsafe", "its Idempotency-Key is optional, so a request may lack it", parameter.place
            )
    return Verdict("unsafe", f"{method} is not idempotent (RFC 9110), and nothing else is said", at.place)


def _parameters(item: Located, at: Located) -> Iterator[Located]:
    """The operation's own before its path's."""
    for holder in (at, item):
        found = holder.get("parameters")
        for _, parameter in found.items() if found else ():
            yield parameter


def _bodies(at: Located) -> Iterator[Message]:
    body = at.get("requestBody")
    content = body.get("content") if body else None
    for media, one in content.items() if content else ():
        schema = one.get("schema")
        discriminator, most = common.schema_facts(schema)
        yield Message(at.text_of("operationId") or "body", one.place, discriminator, most, media)


def validation_findings(
    value: Mapping[str, Any],
    version: str,
    uri: str,
    read_file: Callable[[str], Any],
    place: Callable[[str], Place],
) -> list[Finding]:
    """What the format's own rules say, by openapi-spec-validator; its references read by read_file alone."""
    import openapi_spec_validator as validators

    kinds = {
        "3.0": validators.OpenAPIV30SpecValidator,
        "3.1": validators.OpenAPIV31SpecValidator,
        "3.2": validators.OpenAPIV32SpecValidator,
    }

    class Local(kinds[version]):  # type: ignore[misc, valid-type]
        resolver_handlers = {"": read_file, "file": read_file, "http": read_file, "https": read_file}  # noqa: RUF012

    found: list[Finding] = []
    try:
        for error in Local(value, base_uri=uri).iter_errors():
            found.append(common.schema_finding(error, place))
            if len(found) >= 100:
                break
    except Exception as error:  # it goes on into documents that it has found no sound ones, and fails there
        if not found:
            found.append(Finding(place(""), f"cannot be checked: {type(error).__name__} {error}"))
    return found
