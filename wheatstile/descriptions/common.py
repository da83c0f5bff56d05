"""What OpenAPI and AsyncAPI documents say alike: our extensions, and facts of schemas. Pure."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, get_args

from wheatstile.config.violations import pointer
from wheatstile.descriptions.model import Description, DescriptionError, Finding, Operation, Place, Repeat
from wheatstile.descriptions.refs import Located

CLASS, REPEAT, BECAUSE = "x-wheatstile-class", "x-wheatstile-repeat", "x-wheatstile-because"
SCOPE, WINDOW, TIMEOUT = "x-wheatstile-scope", "x-wheatstile-window-s", "x-wheatstile-timeout-ms"
SCOPES = ("all", "zone", "cell")


@dataclass(frozen=True, slots=True)
class Told:
    """What an extension says of being repeated."""

    repeat: Repeat
    because: str
    scope: str
    window: int  # microseconds
    place: Place


def _error(place: Place, reason: str) -> DescriptionError:
    return DescriptionError([Finding(place, reason)])


def described(root: Located, form: str, makers: Iterable[Callable[[], Operation]]) -> Description:
    """A document of these operations. Raises DescriptionError with the faults of all."""
    findings: list[Finding] = []
    operations: list[Operation] = []
    for make in makers:
        try:
            operations.append(make())
        except DescriptionError as error:
            findings += error.findings
    if findings:
        raise DescriptionError(findings)
    info = root.get("info")
    return Description(root.text.file, info.text_of("title") if info else "", form, tuple(operations))


def schema_finding(error: Any, place: Callable[[str], Place]) -> Finding:
    """A validator's error at its place; of several alternatives that all fail, the one that came nearest."""
    nearest = error
    while nearest.context:
        nearest = max(nearest.context, key=lambda one: (len(one.absolute_path), "'$ref'" not in one.message))
    message = str(nearest.message).partition("Failed validating")[0]
    return Finding(place(pointer(*nearest.absolute_path)), " ".join(message.split())[:300])


def nearest_extension(name: str, *holders: Located) -> Located | None:
    """The extension at the first of the holders that has it: the operation before what it stands in."""
    for holder in holders:
        if (found := holder.raw(name)) is not None:
            return found
    return None


def class_of(*holders: Located) -> tuple[str, Place | None]:
    found = nearest_extension(CLASS, *holders)
    if found is None:
        return "", None
    if not isinstance(found.value, str) or not found.value:
        raise _error(found.place, "is no name of a class")
    return found.value, found.place


def timeout_of(*holders: Located) -> tuple[int, Place | None]:
    """The time-out that a description declares, in microseconds."""
    found = nearest_extension(TIMEOUT, *holders)
    if found is None:
        return 0, None
    if isinstance(found.value, bool) or not isinstance(found.value, int | float) or not 0 < found.value < 1e9:
        raise _error(found.place, "is no number of milliseconds over 0")
    return int(found.value * 1000), found.place


def repeat_of(*holders: Located) -> Told | None:
    found = nearest_extension(REPEAT, *holders)
    if found is None:
        return None
    if found.value not in get_args(Repeat):
        raise _error(found.place, f"is none of {', '.join(get_args(Repeat))}")
    because = nearest_extension(BECAUSE, *holders)
    scope, window = scope_and_window(*holders)
    reason = because.value if because and isinstance(because.value, str) else ""
    return Told(found.value, reason.strip(), scope, window, found.place)


def scope_and_window(*holders: Located) -> tuple[str, int]:
    """The group that discards repeats, and for how long it remembers, in microseconds."""
    scope, window = nearest_extension(SCOPE, *holders), nearest_extension(WINDOW, *holders)
    if scope is not None and scope.value not in SCOPES:
        raise _error(scope.place, f"is none of {', '.join(SCOPES)}")
    if window is None:
        return (scope.value if scope else "all"), 0
    if (
        isinstance(window.value, bool)
        or not isinstance(window.value, int | float)
        or not 0 < window.value < 1e8
    ):
        raise _error(window.place, "is no number of seconds over 0")
    return (scope.value if scope else "all"), int(window.value * 1_000_000)


def schema_facts(schema: Located | None) -> tuple[str, int | None]:
    """A schema's discriminator, and a bound on the bytes of its JSON where the schema gives one."""
    if schema is None:
        return "", None
    discriminator = schema.value.get("discriminator", "") if isinstance(schema.value, dict) else ""
    if isinstance(discriminator, dict):
        discriminator = discriminator.get("propertyName", "")
    return (discriminator if isinstance(discriminator, str) else ""), most_bytes(schema)


def most_bytes(schema: Located, seen: dict[tuple[str, str], int | None] | None = None) -> int | None:
    """The longest compact JSON that the schema allows, six bytes to a character; None: no bound.

    A schema that holds itself has no bound; each is worked out once, however often it is referred to.
    """
    seen = {} if seen is None else seen
    key = schema.uri, schema.pointer
    if key not in seen:
        seen[key] = None
        seen[key] = _most_bytes(schema, seen)
    return seen[key]


def _most_bytes(schema: Located, seen: dict[tuple[str, str], int | None]) -> int | None:
    value = schema.value
    if not isinstance(value, dict):
        return None
    if "const" in value or isinstance(value.get("enum"), list):
        choices = [value["const"]] if "const" in value else value["enum"]
        return max((6 * len(str(choice)) + 2 for choice in choices), default=0)
    kind: Any = value.get("type")
    if kind in ("boolean", "null"):
        return 5
    if kind == "integer" and isinstance(value.get("maximum"), int) and isinstance(value.get("minimum"), int):
        return max(len(str(value["maximum"])), len(str(value["minimum"])))
    if kind == "string" and isinstance(value.get("maxLength"), int):
        return int(6 * value["maxLength"] + 2)
    if kind == "array" and isinstance(value.get("maxItems"), int):
        items = schema.get("items")
        inner = most_bytes(items, seen) if items else None
        return None if inner is None else int(2 + value["maxItems"] * (inner + 1))
    if kind == "object" and value.get("additionalProperties") is False and "patternProperties" not in value:
        properties = schema.get("properties")
        total = 2
        for name, one in properties.items() if properties else []:
            inner = most_bytes(one, seen)
            if inner is None:
                return None
            total += 6 * len(name) + 4 + inner
        return total
    return None
