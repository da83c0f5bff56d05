"""Sans-I/O parser for the OPEN line, with which a client requests a session."""

import re
from dataclasses import dataclass

from wheatstile import interface as api
from wheatstile.net.errors import ProtocolError

OPEN_LINE_PATTERN = re.compile(rb"OPEN (?P<id>[0-9a-f]{16}) (?P<key>[!-~]+) (?P<fields>[!-~]+)\r\n")
FIELD_PATTERN = re.compile(rb"[a-z][a-z0-9_]*=[!-+\--<>-~]+")
TIMEOUT_PATTERN = re.compile("[0-9]{1,9}")
LOAD_HINT_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")  # limited in length, so the value is finite
REQUIRED_FIELDS = {"c", "d", "g"}
FLAGS = ("r", "again")
FLAG_SET = "1"


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A client's request. Its line is forwarded to servers unchanged except for the timeout.

    Attributes:
        timeout_ms: the time that the client waits for its answer.
        reopen_at: the server of a session established before this process started; empty for a new session.
        reconnecting: whether the client reconnects after a connection loss or a migration.
        client_retry: whether the client marks its request as a retry.
        line_before_timeout, line_after_timeout: the parts of the line before and after the timeout value.
    """

    id: str
    key: str
    service_class: str
    affinity_group: str
    timeout_ms: int
    reopen_at: str
    reconnecting: bool
    client_retry: bool
    load_hint: float
    line_before_timeout: bytes
    line_after_timeout: bytes

    @classmethod
    def parse(cls, line: bytes) -> "OpenRequest":
        """Parse a complete line with its line ending.

        Raises ProtocolError for a malformed line, which a server would treat as an error of the balancer.
        """
        match = OPEN_LINE_PATTERN.fullmatch(line)
        if not match:
            raise ProtocolError("first line is not a valid OPEN line")
        fields = _parse_fields(match["fields"])
        timeout_start = match.start("fields") + _timeout_offset(match["fields"])
        timeout_end = timeout_start + len(fields["d"])
        return cls(
            id=match["id"].decode(),
            key=match["key"].decode(),
            service_class=fields["c"],
            affinity_group=fields["g"],
            timeout_ms=int(fields["d"]),
            reopen_at=fields.get("at", ""),
            reconnecting=fields.get("again") == FLAG_SET,
            client_retry=fields.get("r") == FLAG_SET,
            load_hint=float(fields.get("h", 0.0)),
            line_before_timeout=line[:timeout_start],
            line_after_timeout=line[timeout_end:],
        )

    def line_with_timeout(self, timeout_ms: int) -> bytes:
        """Return the line to send to a server, with `timeout_ms` as the timeout."""
        return b"%b%d%b" % (self.line_before_timeout, timeout_ms, self.line_after_timeout)

    def to_event(self, max_timeout_ms: int) -> api.Request:
        """Return the event for the decision module, with a timeout of at most `max_timeout_ms`."""
        return api.Request(
            self.id,
            self.service_class,
            min(self.timeout_ms, max_timeout_ms) * 1000,
            self.key,
            reconnecting=self.reconnecting,
            client_retry=self.client_retry,
            load_hint=self.load_hint,
            affinity_group=self.affinity_group,
        )


def _timeout_offset(fields: bytes) -> int:
    """Return the offset of the value of field `d`."""
    if fields.startswith(b"d="):
        return len(b"d=")
    return fields.index(b",d=") + len(b",d=")


def _parse_fields(text: bytes) -> dict[str, str]:
    """Parse `NAME=VALUE,...`. Unknown fields are accepted, since servers may support them.

    Raises ProtocolError.
    """
    fields: dict[str, str] = {}
    for field in text.split(b","):
        if not FIELD_PATTERN.fullmatch(field):
            raise ProtocolError("field is not NAME=VALUE")
        name, _, value = field.decode().partition("=")
        if name in fields:
            raise ProtocolError(f"field {name} is repeated")
        fields[name] = value
    _check_fields(fields)
    return fields


def _check_fields(fields: dict[str, str]) -> None:
    """Check that required fields are present and that known fields are valid. Raises ProtocolError."""
    if not fields.keys() >= REQUIRED_FIELDS:
        raise ProtocolError("a required field is missing")
    if not TIMEOUT_PATTERN.fullmatch(fields["d"]):
        raise ProtocolError("field d is not a timeout in milliseconds")
    if "h" in fields and not LOAD_HINT_PATTERN.fullmatch(fields["h"]):
        raise ProtocolError("field h is not a valid load")
    if any(fields.get(flag, FLAG_SET) != FLAG_SET for flag in FLAGS):
        raise ProtocolError("flag has a value other than 1")
