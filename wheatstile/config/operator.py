"""The operator's file: JSON with a section for each optional subsystem.

A subsystem without a section is disabled. Paths in the file are relative to the directory of the file.
`wheatstile schema` generates the JSON Schema from these types.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from wheatstile.config import shape
from wheatstile.config.violations import ConfigurationError, Violation, json_pointer, load_json, locate

MAX_OPERATOR_FILE_BYTES = 1 << 20


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The log on standard error. The options `--log-format` and `--log-level` have priority."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


def _described(description: str, **bounds: Any) -> Meta:
    """Return the constraints of a field, and its description for the JSON Schema."""
    return Meta(description=description, **bounds)


RecheckInterval = Annotated[
    float, _described("seconds between polls for changes that were not notified", ge=0.1, le=3600)
]


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The endpoint file, which is watched for changes. The section is disabled without `file`."""

    file: Annotated[str, _described("endpoint file; null disables the section", min_length=1)] | None = None
    mode: Annotated[
        Literal["fallback", "override", "merge"],
        _described("use of the file: while discovery is silent, always, or merged with discovery"),
    ] = "fallback"
    after_s: Annotated[
        float, _described("seconds of silence of discovery after which the file is used", ge=0, le=86400)
    ] = 10.0
    hold_down_s: Annotated[
        float,
        _described(
            "seconds for which a flapping discovery must answer before it is used again; "
            "doubles with each further loss, up to 8 times this value",
            ge=0,
            le=3600,
        ),
    ] = 30.0
    require_seal: Annotated[bool, _described("reject a file without a seal")] = False
    settle_s: Annotated[
        float, _described("seconds for which an unsealed file must stay unchanged", ge=0.02, le=60)
    ] = 0.2
    recheck_s: RecheckInterval = 5.0
    state_dir: (
        Annotated[
            str, _described("directory for the last known good endpoint list; null disables it", min_length=1)
        ]
        | None
    ) = None
    networks: Annotated[
        list[str], _described("allowed server addresses, as CIDR networks or ranges FIRST-LAST", min_length=1)
    ] = msgspec.field(default_factory=lambda: ["0.0.0.0/0"])
    least_per_site: Annotated[
        int, _described("minimum number of ready servers in each site", ge=1, le=100_000)
    ] = 1
    may_be_empty: Annotated[list[str], _described("sites that may have no ready servers")] = msgspec.field(
        default_factory=list
    )
    most: Annotated[int, _described("maximum number of servers in the file", ge=1, le=1_000_000)] = 20_000
    most_bytes: Annotated[int, _described("maximum size of the file in bytes", ge=64, le=1 << 30)] = 8 << 20
    most_removed: Annotated[
        float, _described("maximum share of the ready servers that one change may remove", ge=0, le=1)
    ] = 0.5


Repeat = Literal["safe", "keyed", "unsafe"]
"""The values of `repeat`. Each is the keyword of one member of `Idempotency`."""


class DescriptionRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Assigns a class to operations, and optionally whether they may be repeated."""

    when: Annotated[
        str,
        _described(
            'condition that selects the operations, for example: method == "POST" and path ~ "/orders/**"',
            min_length=1,
        ),
    ]
    service_class: Annotated[str, _described("name of the class", min_length=1)] = msgspec.field(name="class")
    repeat: (
        Annotated[Repeat, _described("applied if stricter than the description; a conflict if looser")] | None
    ) = None


class ClassOverride(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The operator's setting for a class, which has priority over its descriptions."""

    repeat: Repeat


class Descriptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """OpenAPI and AsyncAPI descriptions. The section is disabled without `paths`."""

    paths: Annotated[list[str], _described("files and directories; an empty list disables the section")] = (
        msgspec.field(default_factory=list)
    )
    rules: Annotated[
        list[DescriptionRule], _described("rules in their order; the first that matches is applied")
    ] = msgspec.field(default_factory=list)
    classes: Annotated[dict[str, ClassOverride], _described("overrides by class name")] = msgspec.field(
        default_factory=dict
    )
    require_class: Annotated[bool, _described("reject operations without a class")] = False
    strict: Annotated[bool, _described("treat warnings as conflicts")] = False
    settle_s: Annotated[
        float, _described("seconds for which changed files must stay unchanged", ge=0.02, le=60)
    ] = 0.5
    recheck_s: RecheckInterval = 5.0


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The operator's file of a wheatstile balancer."""

    schema: str | None = msgspec.field(default=None, name="$schema")
    log: Log = msgspec.field(default_factory=Log)
    servers: Servers = msgspec.field(default_factory=Servers)
    descriptions: Descriptions = msgspec.field(default_factory=Descriptions)


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The settings of an operator's file, and its path."""

    path: Path
    settings: Operator

    def resolve_path(self, path: str) -> Path:
        """Resolve a path in the file against the directory of the file."""
        return self.path.parent / path


def parse(file: str, data: bytes) -> Operator:
    """Parse an operator's file. Raises ConfigurationError with every violation and its location."""
    text, value = load_json(file, data, MAX_OPERATOR_FILE_BYTES)
    if not isinstance(value, dict):
        raise ConfigurationError(file, [Violation("", "is not an object", 1)])
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
            data = file.read(MAX_OPERATOR_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigurationError(path, [Violation("", error.strerror or str(error))]) from None
    return OperatorFile(Path(path), parse(path, data))


def schema() -> dict[str, object]:
    """Return the JSON Schema of the operator's file (draft 2020-12)."""
    generated = msgspec.json.schema(Operator)
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": "wheatstile"} | generated


def _network_violations(networks: list[object]) -> list[Violation]:
    from wheatstile.config.networks import NetworkError, Networks  # netaddr is imported only if it is needed

    violations = []
    for index, network in enumerate(networks):
        if not isinstance(network, str):
            continue
        try:
            Networks([network])
        except NetworkError as error:
            violations.append(Violation(json_pointer("servers", "networks", index), str(error)))
    return violations
