"""What descriptions say, whichever kind they are of. Every statement keeps the place it was read from."""

from dataclasses import dataclass, field
from typing import Any, Literal

Repeat = Literal["safe", "keyed", "unsafe"]
TIGHTER = {"safe": 0, "keyed": 1, "unsafe": 2}  # the larger wins, whoever says it
NARROWER = {"all": 0, "zone": 1, "cell": 2}  # groups that discard repeats; the larger wins


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where something stands: a file, a line (from 1), a JSON pointer."""

    file: str
    line: int
    pointer: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.pointer or '/'}"

    def short(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class Finding:
    """A conflict or a warning, with both places where there are two."""

    place: Place
    reason: str
    against: Place | None = None
    level: Literal["conflict", "warning"] = "conflict"

    def __str__(self) -> str:
        against = f" (against {self.against.short()})" if self.against else ""
        mark = "warning: " if self.level == "warning" else ""
        return f"{self.place}: {mark}{self.reason}{against}"


class DescriptionError(ValueError):
    """Descriptions that cannot be used, with all their findings. Nothing of them has been taken."""

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = findings
        super().__init__("; ".join(str(finding) for finding in findings[:20]))

    def lines(self) -> list[str]:
        return [str(finding) for finding in self.findings]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether an operation may be repeated, and where that was read. Times in microseconds."""

    repeat: Repeat
    why: str
    place: Place
    scope: str = "all"  # of "keyed": the group that discards repeats
    window: int = 0  # of "keyed": how long it remembers; 0: not told


@dataclass(frozen=True, slots=True)
class Message:
    """One message that a channel carries."""

    name: str
    place: Place
    discriminator: str = ""  # the property that tells it from the others
    most_bytes: int | None = None  # where the schema bounds it
    content_type: str = ""


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation: an HTTP method on a path, or an application's sending or receiving on a channel."""

    kind: Literal["http", "message"]
    action: str  # the method in capitals, or "send" or "receive", from the application's view
    route: str  # path template, or subject pattern
    id: str
    place: Place
    verdict: Verdict
    tags: tuple[str, ...] = ()
    channel: str = ""
    servers: tuple[str, ...] = ()
    queue_group: str = ""  # of a NATS binding
    messages: tuple[Message, ...] = ()
    reply: str = ""  # the channel that answers go to
    service_class: str = ""  # by x-wheatstile-class
    class_place: Place | None = None
    timeout: int = 0  # microseconds, declared by x-wheatstile-timeout-ms; 0: none
    timeout_place: Place | None = None
    bindings: dict[str, Any] = field(default_factory=dict, hash=False, compare=False)

    @property
    def name(self) -> str:
        return f"{self.action} {self.route}"


@dataclass(frozen=True, slots=True)
class Description:
    """One file as read."""

    file: str
    title: str
    form: str  # "openapi 3.1", "asyncapi 2.6", ...
    operations: tuple[Operation, ...]
