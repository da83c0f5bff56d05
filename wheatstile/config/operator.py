"""The operator's file: JSON, one section for each subsystem, all of them off where it says nothing.

The JSON Schema is made from these types (`wheatstile schema`). Paths in the file are relative to its folder.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from wheatstile.config import shape
from wheatstile.config.violations import ConfigurationError, Violation, load, locate, pointer

MOST_BYTES = 1 << 20  # of the operator's file itself


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The log on standard error; `--log-format` and `--log-level` go before it."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


def _described(description: str, **bounds: Any) -> Meta:
    return Meta(description=description, **bounds)


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The watched file of servers. Off without `file`."""

    file: Annotated[str, _described("the file of servers; none: off", min_length=1)] | None = None
    mode: Annotated[
        Literal["fallback", "override", "merge"],
        _described(
            "when the file's list holds: discovery being silent, always, or together with discovery's"
        ),
    ] = "fallback"
    after_s: Annotated[
        float, _described("silence of discovery after which the file holds", ge=0, le=86400)
    ] = 10.0
    hold_down_s: Annotated[
        float,
        _described("steady answers asked of a discovery that flaps; doubles up to 8 times", ge=0, le=3600),
    ] = 30.0
    require_seal: Annotated[bool, _described("refuse a file without a seal")] = False
    settle_s: Annotated[
        float, _described("how long an unsealed file must stand unchanged", ge=0.02, le=60)
    ] = 0.2
    recheck_s: Annotated[
        float, _described("what a lost notice of a change costs at most", ge=0.1, le=3600)
    ] = 5.0
    state_dir: (
        Annotated[str, _described("where the last good list is kept; none: off", min_length=1)] | None
    ) = None
    networks: Annotated[
        list[str], _described("address sets that servers may lie in, as CIDR or FIRST-LAST", min_length=1)
    ] = msgspec.field(default_factory=lambda: ["0.0.0.0/0"])
    least_per_site: Annotated[int, _described("ready servers that each site must keep", ge=1, le=100_000)] = 1
    may_be_empty: Annotated[
        list[str], _described("sites that may go without servers: the explicit override")
    ] = msgspec.field(default_factory=list)
    most: Annotated[int, _described("servers in the file", ge=1, le=1_000_000)] = 20_000
    most_bytes: Annotated[int, _described("bytes of the file", ge=64, le=1 << 30)] = 8 << 20
    most_removed: Annotated[
        float, _described("share of the ready servers that one change may take away; 1: any", ge=0, le=1)
    ] = 0.5


Repeat = Literal["safe", "keyed", "unsafe"]


class DescriptionRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Gives operations a class, and may say how far they may be repeated."""

    when: Annotated[
        str, _described('which operations, as in: method == "POST" and path ~ "/orders/**"', min_length=1)
    ]
    service_class: Annotated[str, _described("the class", min_length=1)] = msgspec.field(name="class")
    repeat: (
        Annotated[Repeat, _described("tighter than the description is taken, looser is a conflict")] | None
    ) = None


class ClassOverride(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the operator says of a class, whatever its descriptions say."""

    repeat: Repeat


class Descriptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """OpenAPI and AsyncAPI descriptions. Off without `paths`."""

    paths: Annotated[list[str], _described("files and folders; none: off")] = msgspec.field(
        default_factory=list
    )
    rules: Annotated[list[DescriptionRule], _described("in order; the first that fits counts")] = (
        msgspec.field(default_factory=list)
    )
    classes: Annotated[dict[str, ClassOverride], _described("by name")] = msgspec.field(default_factory=dict)
    require_class: Annotated[bool, _described("refuse operations that nothing gives a class")] = False
    strict: Annotated[bool, _described("warnings are conflicts")] = False
    settle_s: Annotated[float, _described("how long changed files must stand unchanged", ge=0.02, le=60)] = (
        0.5
    )
    recheck_s: Annotated[
        float, _described("what a lost notice of a change costs at most", ge=0.1, le=3600)
    ] = 5.0


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The operator's file of a wheatstile balancer."""

    schema: str | None = msgspec.field(default=None, name="$schema")
    log: Log = msgspec.field(default_factory=Log)
    servers: Servers = msgspec.field(default_factory=Servers)
    descriptions: Descriptions = msgspec.field(default_factory=Descriptions)


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The file as read, and the folder that its paths are relative to."""

    path: Path
    settings: Operator

    def near(self, path: str) -> Path:
        """Resolve a path that the file names."""
        return self.path.parent / path


def parse(file: str, data: bytes) -> Operator:
    """Read the settings in these bytes. Raises ConfigurationError with every violation and its location."""
    text, value = load(file, data, MOST_BYTES)
    if not isinstance(value, dict):
        raise ConfigurationError(file, [Violation("", "is no object", 1)])
    violations = list(shape.find_violations(value, Operator))
    servers = value.get("servers")
    if isinstance(servers, dict) and isinstance(servers.get("networks"), list):
        violations += _network_violations(servers["networks"])
    if violations:
        raise ConfigurationError(file, locate(text, violations))
    return msgspec.convert(value, Operator)


def read(path: str) -> OperatorFile:
    """Read the operator's file at this path. Raises ConfigurationError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise ConfigurationError(path, [Violation("", error.strerror or str(error))]) from None
    return OperatorFile(Path(path), parse(path, data))


def schema() -> dict[str, object]:
    """Return the JSON Schema of the operator's file (draft 2020-12)."""
    generated = msgspec.json.schema(Operator)
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": "wheatstile"} | generated


def _network_violations(networks: list[object]) -> list[Violation]:
    from wheatstile.config.networks import NetworkError, Networks  # netaddr, which little else needs

    violations = []
    for index, network in enumerate(networks):
        if not isinstance(network, str):
            continue
        try:
            Networks([network])
        except NetworkError as error:
            violations.append(Violation(pointer("servers", "networks", index), str(error)))
    return violations
