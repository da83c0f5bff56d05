"""The line that a channel opens with: its form, and the request that it asks for."""

import re
from dataclasses import dataclass

from wheatstile import interface as api

OPEN_LINE = re.compile(rb"OPEN ([0-9a-f]{16}) ([!-~]+) ([!-~]+)\r\n")
FIELD = re.compile(rb"[a-z][a-z0-9_]*=[!-+\--<>-~]+")
HINT = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")  # more digits say nothing of a load, and may be no number


class ProtocolError(Exception):
    """A channel's first line, or what came with it, has a form that no client sends."""


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """The line that a channel opens with. It goes on byte for byte but for the figure of d."""

    id: str
    key: str
    fields: dict[str, str]
    before_d: bytes
    after_d: bytes
    wait: int  # milliseconds, of d

    @classmethod
    def read(cls, line: bytes) -> "OpenRequest":
        """Raises ProtocolError: a server takes a form that no client sent as a fault of the balancer's."""
        found = OPEN_LINE.fullmatch(line)
        if not found:
            raise ProtocolError
        fields: dict[str, str] = {}
        for field in found[3].split(b","):
            if not FIELD.fullmatch(field):
                raise ProtocolError
            name, _, value = field.decode().partition("=")
            if name in fields or (name == "h" and not HINT.fullmatch(value)):
                raise ProtocolError
            fields[name] = value
        if not {"c", "d", "g"} <= fields.keys() or not re.fullmatch("[0-9]{1,9}", fields["d"]):
            raise ProtocolError
        if any(fields.get(flag, "1") != "1" for flag in ("r", "again")):
            raise ProtocolError
        start = found.start(3) + (0 if found[3].startswith(b"d=") else found[3].index(b",d=") + 1) + 2
        end = start + len(fields["d"])
        return cls(found[1].decode(), found[2].decode(), fields, line[:start], line[end:], int(fields["d"]))

    def with_wait(self, milliseconds: int) -> bytes:
        return b"%b%d%b" % (self.before_d, milliseconds, self.after_d)

    def request(self, longest: int) -> api.Request:
        f = self.fields
        return api.Request(
            self.id,
            f["c"],
            min(self.wait, longest) * 1000,  # no client waits longer, whatever it writes
            self.key,
            reconnecting=f.get("again") == "1",
            client_retry=f.get("r") == "1",
            load_hint=float(f.get("h", 0.0)),
            affinity_group=f["g"],
        )
