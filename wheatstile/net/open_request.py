"""The line with which a client asks for a session: its form, and the request in it; no input or output."""

import re
from dataclasses import dataclass

from wheatstile import interface as api
from wheatstile.net.errors import ProtocolError

OPEN_LINE = re.compile(rb"OPEN ([0-9a-f]{16}) ([!-~]+) ([!-~]+)\r\n")
FIELD = re.compile(rb"[a-z][a-z0-9_]*=[!-+\--<>-~]+")
WAIT = re.compile("[0-9]{1,9}")
LOAD_HINT = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")  # more digits say nothing of a load, maybe no number
REQUIRED_FIELDS = {"c", "d", "g"}
FLAGS = ("r", "again")
FLAG_SET = "1"


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """What a client asks for. Its line goes on byte for byte but for the time to wait."""

    id: str
    key: str
    service_class: str
    affinity_group: str
    wait_ms: int
    reopen_at: str  # the server at which the session stood before this process; empty: it is a new one
    reconnecting: bool
    client_retry: bool
    load_hint: float
    line_before_wait: bytes
    line_after_wait: bytes

    @classmethod
    def parse(cls, line: bytes) -> "OpenRequest":
        """Parse a whole line with its end.

        Raises ProtocolError: a server takes a form that no client sent as a fault of the balancer's.
        """
        found = OPEN_LINE.fullmatch(line)
        if not found:
            raise ProtocolError("no open line")
        fields = _parse_fields(found[3])
        wait_field = 0 if found[3].startswith(b"d=") else found[3].index(b",d=") + 1
        wait_start = found.start(3) + wait_field + len(b"d=")
        return cls(
            id=found[1].decode(),
            key=found[2].decode(),
            service_class=fields["c"],
            affinity_group=fields["g"],
            wait_ms=int(fields["d"]),
            reopen_at=fields.get("at", ""),
            reconnecting=fields.get("again") == FLAG_SET,
            client_retry=fields.get("r") == FLAG_SET,
            load_hint=float(fields.get("h", 0.0)),
            line_before_wait=line[:wait_start],
            line_after_wait=line[wait_start + len(fields["d"]) :],
        )

    def line_with_wait(self, wait_ms: int) -> bytes:
        """Return the line as a server gets it, with the milliseconds that are left."""
        return b"%b%d%b" % (self.line_before_wait, wait_ms, self.line_after_wait)

    def to_event(self, max_wait_ms: int) -> api.Request:
        """Return the request as the decision module takes it. No client waits longer, whatever it writes."""
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


def _parse_fields(text: bytes) -> dict[str, str]:
    """Parse `NAME=VALUE,...`. Names that nobody knows are let through: they are for the server."""
    fields: dict[str, str] = {}
    for field in text.split(b","):
        if not FIELD.fullmatch(field):
            raise ProtocolError("no field")
        name, _, value = field.decode().partition("=")
        if name in fields:
            raise ProtocolError(f"{name} twice")
        fields[name] = value
    if not fields.keys() >= REQUIRED_FIELDS:
        raise ProtocolError("a field is missing")
    if not WAIT.fullmatch(fields["d"]):
        raise ProtocolError("d is no time to wait")
    if "h" in fields and not LOAD_HINT.fullmatch(fields["h"]):
        raise ProtocolError("h is no load")
    if any(fields.get(flag, FLAG_SET) != FLAG_SET for flag in FLAGS):
        raise ProtocolError("a flag that is not 1")
    return fields
