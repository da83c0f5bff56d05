"""The store's state machine: keys to values with a version each, changed by put and compare-and-set.

Pure: a command is applied at its log index and answers with a `Result`; the state is bytes for a snapshot.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

import msgspec

MAX_KEYS = 10_000
"""Keys at most; a put of a new key past it is refused, as a store for configuration has gone wrong then."""


class Command(msgspec.Struct, frozen=True):
    """`op` put sets `value`; cas sets it only if the key's version is `expect` (0: the key is absent)."""

    op: Literal["put", "cas", "get"]
    key: str
    value: bytes = b""
    expect: int = 0
    id: str = ""  # the client's, so that a history can be checked against what was asked


class Result(msgspec.Struct, frozen=True):
    ok: bool
    version: int = 0
    value: bytes = b""
    reason: str = ""


@dataclass
class Machine:
    values: dict[str, tuple[int, bytes]] = field(default_factory=dict)  # key -> (version, value)

    def apply(self, index: int, command: Command) -> Result:
        """Applies `command`, committed at `index`; a version is the index that last set the key."""
        version, value = self.values.get(command.key, (0, b""))
        if command.op == "get":
            return Result(True, version, value)
        if command.op == "cas" and version != command.expect:
            return Result(False, version, value, f"version is {version}, not {command.expect}")
        if command.key not in self.values and len(self.values) >= MAX_KEYS:
            return Result(False, 0, b"", f"{MAX_KEYS} keys at most")
        self.values[command.key] = (index, command.value)
        return Result(True, index, command.value)

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(self.values)

    @classmethod
    def load(cls, data: bytes) -> Machine:
        if not data:
            return cls()
        return cls(msgspec.msgpack.decode(data, type=dict[str, tuple[int, bytes]]))
