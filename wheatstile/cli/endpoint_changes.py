"""Compares two endpoint files for `servers diff`."""

import enum
from collections.abc import Iterator

import msgspec

from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.units import US_PER_MS
from wheatstile.resolvers.endpoint_file import EndpointFile

EMPTY_VALUES = ("", 0)
"""Values of a server that are omitted from tables."""


class ServerRow(msgspec.Struct):
    """One server, with the keys of the endpoint file. `started` is Unix time in milliseconds."""

    address: str
    site: str
    weight: float
    state: str
    started: int

    @classmethod
    def from_endpoint(cls, resolved: ResolvedEndpoint) -> "ServerRow":
        """Return the row of a server. The address is empty if the server has none."""
        endpoint, address = resolved
        return cls(
            address=f"{address[0]}:{address[1]}" if address else "",
            site=endpoint.zone,
            weight=endpoint.weight,
            state=endpoint.state,
            started=endpoint.started_at_us // US_PER_MS,
        )


class ChangeKind(enum.StrEnum):
    """The kind of a change; the values are printed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class ServerChange(msgspec.Struct, omit_defaults=True):
    """The change of one server. If it is CHANGED, only the values that differ are included."""

    id: str
    change: ChangeKind
    before: dict[str, object] | None = None
    after: dict[str, object] | None = None


def server_changes(old: EndpointFile, new: EndpointFile) -> Iterator[ServerChange]:
    """Yield the changes from `old` to `new`, sorted by the servers' names."""
    for name in sorted(old.servers.keys() | new.servers.keys()):
        before = old.servers.get(name)
        after = new.servers.get(name)
        if before is None and after:
            yield ServerChange(name, ChangeKind.ADDED, after=_row_values(after))
        elif after is None and before:
            yield ServerChange(name, ChangeKind.REMOVED, before=_row_values(before))
        elif before and after and before != after:
            yield _changed_server(name, _row_values(before), _row_values(after))


def _row_values(resolved: ResolvedEndpoint) -> dict[str, object]:
    return msgspec.structs.asdict(ServerRow.from_endpoint(resolved))


def _changed_server(name: str, before: dict[str, object], after: dict[str, object]) -> ServerChange:
    keys = [key for key in before if before[key] != after[key]]
    return ServerChange(
        name,
        ChangeKind.CHANGED,
        before={key: before[key] for key in keys},
        after={key: after[key] for key in keys},
    )


def format_values(values: dict[str, object] | None) -> str:
    """Format the values that are not empty as `key=value`, separated by spaces."""
    shown = [f"{key}={value}" for key, value in (values or {}).items() if value not in EMPTY_VALUES]
    return " ".join(shown)
