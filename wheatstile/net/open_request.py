"""The line with which a client requests a session: its syntax, and its fields. It does no input or output."""

import re
from dataclasses import dataclass

from wheatstile import interface as api
from wheatstile.net.errors import ProtocolError

OPEN_LINE = re.compile(rb"OPEN (?P<id>[0-9a-f]{16}) (?P<key>[!-~]+) (?P<fields>[!-~]+)\r\n")
FIELD = re.compile(rb"[a-z][a-z0-9_]*=[!-+\--<>-~]+")
WAIT = re.compile("[0-9]{1,9}")
LOAD_HINT = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")  # bounded, so that it converts to a finite number
REQUIRED_FIELDS = {"c", "d", "g"}
FLAGS = ("r", "again")
FLAG_SET = "1"


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A client's request. Its line is sent to servers unchanged, except for the time to wait.

    Attributes:
        wait_ms: how long the client waits for its answer.
        reopen_at: the server of a session from before this process started; empty for a new session.
        reconnecting: whether the client connects again after a break or a migration.
        client_retry: whether the client marks its request as a retry.
        line_before_wait, line_after_wait: the line without the digits of the time to wait.
    """

    id: str
    key: str
    service_class: str
    affinity_group: str
    wait_ms: int
    reopen_at: str
    reconnecting: bool
    client_retry: bool
    load_hint: float
    line_before_wait: bytes
    line_after_wait: bytes

    @classmethod
    def parse(cls, line: bytes) -> "OpenRequest":
        """Parse a whole line with its end.

        Raises ProtocolError for any deviation: a server would blame a malformed line on the balancer.
        """
        found = OPEN_LINE.fullmatch(line)
        if not found:
            raise ProtocolError("no open line")
        fields = _parse_fields(found["fields"])
        wait_start = found.start("fields") + _wait_offset(found["fields"])
        wait_end = wait_start + len(fields["d"])
        return cls(
            id=found["id"].decode(),
            key=found["key"].decode(),
            service_class=fields["c"],
            affinity_group=fields["g"],
            wait_ms=int(fields["d"]),
            reopen_at=fields.get("at", ""),
            reconnecting=fields.get("again") == FLAG_SET,
            client_retry=fields.get("r") == FLAG_SET,
            load_hint=float(fields.get("h", 0.0)),
            line_before_wait=line[:wait_start],
            line_after_wait=line[wait_end:],
        )

    def line_with_wait(self, wait_ms: int) -> bytes:
        """Return the line to send to a server, with the remaining milliseconds as the time to wait."""
        return b"%b%d%b" % (self.line_before_wait, wait_ms, self.line_after_wait)

    def to_event(self, max_wait_ms: int) -> api.Request:
        """Return the event for the decision module. The time to wait is at most `max_wait_ms`."""
        return api.Request(
            self.id,
            self.service_class,
            min(self.wait_ms, max_wait_ms) * 1000,
            self.key,
            reconnecting=self.reconnecting,
            client_retry=self.client_retry,
            load_hint=self.load_hint,
            affinity_group=self.affinity_group,
        )


def _wait_offset(fields: bytes) -> int:
    """Return where the value of the field `d` starts."""
    if fields.startswith(b"d="):
        return len(b"d=")
    return fields.index(b",d=") + len(b",d=")


def _parse_fields(text: bytes) -> dict[str, str]:
    """Parse `NAME=VALUE,...`. Unknown names are accepted, since servers may know them.

    Raises ProtocolError.
    """
    fields: dict[str, str] = {}
    for field in text.split(b","):
        if not FIELD.fullmatch(field):
            raise ProtocolError("no field")
        name, _, value = field.decode().partition("=")
        if name in fields:
            raise ProtocolError(f"{name} twice")
        fields[name] = value
    _check_fields(fields)
    return fields


def _check_fields(fields: dict[str, str]) -> None:
    """Check that required fields are present and that known fields are valid. Raises ProtocolError."""
    if not fields.keys() >= REQUIRED_FIELDS:
        raise ProtocolError("a field is missing")
    if not WAIT.fullmatch(fields["d"]):
        raise ProtocolError("d is no time to wait")
    if "h" in fields and not LOAD_HINT.fullmatch(fields["h"]):
        raise ProtocolError("h is no load")
    if any(fields.get(flag, FLAG_SET) != FLAG_SET for flag in FLAGS):
        raise ProtocolError("a flag that is not 1")
