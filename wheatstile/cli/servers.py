"""`servers`: files of servers, checked, compared, sealed, published, accepted, explained."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
from tabulate import tabulate

from wheatstile import interface as api
from wheatstile.cli.common import operator_option, refuse, servers_section
from wheatstile.config.endpoints import EndpointSnapshot, ResolvedEndpoint
from wheatstile.config.violations import ConfigurationError, Violation, load
from wheatstile.resolvers import merge
from wheatstile.resolvers.approval import approval_path
from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.canonical_json import digest_of
from wheatstile.resolvers.discovery_state import DiscoveryState
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.regular_file import read_all
from wheatstile.resolvers.source_selection import MICROSECONDS_PER_SECOND, MergePolicy, select_source
from wheatstile.resolvers.update_guard import ActiveEndpoints, evaluate


class _Commands(click.Group):
    """ConfigurationError is the same everywhere: the reasons on standard error, exit status 1."""

    def invoke(self, context: click.Context) -> Any:
        try:
            return super().invoke(context)
        except ConfigurationError as refused:
            return refuse(refused.lines())


@click.group("servers", cls=_Commands)
def command() -> None:
    """Files of servers: check, compare, seal, publish, accept, explain."""


def _read(path: str, rules: EndpointFileRules) -> EndpointFile:
    return parse_endpoint_file(path, read_all(Path(path), rules.max_bytes), rules)


def _value(path: str, rules: EndpointFileRules) -> dict[str, Any]:
    """The file's JSON as it stands, once it has been found to hold. Raises ConfigurationError."""
    data = read_all(Path(path), rules.max_bytes)
    parse_endpoint_file(path, data, rules, check_seal=False)
    _, value = load(path, data, rules.max_bytes)
    return {key: element for key, element in value.items() if key != "seal"}


def _against(
    new: EndpointFile, old: EndpointFile, rules: EndpointFileRules, accepted: bool = False
) -> list[str]:
    """Why a balancer that holds the old document would not take the new one."""
    digests = frozenset([new.digest]) if accepted else frozenset()
    evaluation = evaluate(new, ActiveEndpoints.from_file(old), None, digests, rules)
    return list(evaluation.reasons) if evaluation.is_blocked else []


def _text(value: dict[str, Any]) -> bytes:
    """The document with a line for each server, so that a comparison of lines tells something."""
    head = {key: element for key, element in value.items() if key not in ("servers", "seal")}
    rows = ",\n  ".join(json.dumps(row, ensure_ascii=False) for row in value["servers"])
    parts = [f'"servers": [\n  {rows}\n ]']
    parts += [
        f"{json.dumps(key)}: {json.dumps(element, ensure_ascii=False)}" for key, element in head.items()
    ]
    parts.append(f'"seal": {json.dumps(digest_of(value))}')
    return ("{" + ",\n ".join(parts) + "}\n").encode()


def _row(named: ResolvedEndpoint) -> dict[str, Any]:
    entry, address = named
    found: dict[str, Any] = {"address": "%s:%d" % address if address else "", "site": entry.zone}  # noqa: UP031
    return found | {"weight": entry.weight, "state": entry.state, "started": entry.started_at_us // 1000}


def _table(rows: list[list[Any]], headers: list[str]) -> None:
    click.echo(tabulate(rows, headers, tablefmt="plain", disable_numparse=True))


@command.command()
@click.argument("file")
@click.option("--against", metavar="FILE", help="Hold it against this file too, as the list in force.")
@operator_option
def check(file: str, against: str | None, operator_file: str | None) -> int:
    """Check FILE, a file of servers."""
    rules = EndpointFileRules.from_settings(servers_section(operator_file))
    found = _read(file, rules)
    if against and (reasons := _against(found, _read(against, rules), rules)):
        return refuse(f"{file}:1: /: {reason} (against {against})" for reason in reasons)
    sealed = "sealed" if found.sealed else "not sealed"
    ready = f"{len(found.ready_names())} of {len(found.servers)} servers ready"
    click.echo(f"{file}: holds; {ready}, {sealed}, {found.digest}")
    if not against and found.sites is None:
        click.echo("not checked: sites, as the file names none and no --against does")
    return 0


def _differences(old: EndpointFile, new: EndpointFile) -> Iterator[dict[str, Any]]:
    for name in sorted(old.servers.keys() | new.servers.keys()):
        before, after = old.servers.get(name), new.servers.get(name)
        if before is None and after:
            yield {"id": name, "change": "added", "after": _row(after)}
        elif after is None and before:
            yield {"id": name, "change": "removed", "before": _row(before)}
        elif before and after and before != after:
            was, now = _row(before), _row(after)
            keys = [key for key in was if was[key] != now[key]]
            changed = {"before": {key: was[key] for key in keys}, "after": {key: now[key] for key in keys}}
            yield {"id": name, "change": "changed"} | changed


@command.command()
@click.argument("old")
@click.argument("new")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@operator_option
def diff(old: str, new: str, as_json: bool, operator_file: str | None) -> int:
    """Tell what NEW changes of OLD: a table for people, or JSON."""
    rules = EndpointFileRules.from_settings(servers_section(operator_file))
    first, second = _read(old, rules), _read(new, rules)
    found = list(_differences(first, second))
    if as_json:
        heads = [{"generation": one.generation, "digest": one.digest} for one in (first, second)]
        click.echo(json.dumps({"old": heads[0], "new": heads[1], "servers": found}))
        return 0

    def told(values: dict[str, Any] | None) -> str:
        return " ".join(f"{key}={value}" for key, value in (values or {}).items() if value not in ("", 0))

    _table(
        [[one["id"], one["change"], told(one.get("before")), told(one.get("after"))] for one in found],
        ["server", "change", "before", "after"],
    )
    click.echo(
        f"{len(found)} of {len(first.servers.keys() | second.servers.keys())} servers; "
        f"generation {first.generation} -> {second.generation}"
    )
    return 0


@command.command()
@click.argument("file")
@operator_option
def seal(file: str, operator_file: str | None) -> int:
    """Seal FILE in place, so that a damaged copy of it can be told from a whole one."""
    rules = EndpointFileRules.from_settings(servers_section(operator_file))
    value = _value(file, rules)
    _write(Path(file), _text(value))
    click.echo(f"{file}: sealed, {digest_of(value)}")
    return 0


@command.command()
@click.argument("new")
@click.argument("dest")
@click.option("--bump", is_flag=True, help="Give it the generation after DEST's.")
@click.option("--accept", "accepted", is_flag=True, help="Also where it takes too many ready servers away.")
@operator_option
def publish(new: str, dest: str, bump: bool, accepted: bool, operator_file: str | None) -> int:
    """Check NEW, hold it against DEST, seal it, and put it in DEST's place as a whole."""
    rules = EndpointFileRules.from_settings(servers_section(operator_file))
    value, target = _value(new, rules), Path(dest)
    old = _read(dest, rules) if target.exists() else None
    if bump:
        value["generation"] = 1 + ((old.generation if old else None) or 0)
    data = _text(value)
    fresh = parse_endpoint_file(new, data, rules)
    if old and (reasons := _against(fresh, old, rules, accepted)):
        return refuse(f"{new}:1: /: {reason} (against {dest})" for reason in reasons)
    if accepted:
        _write(approval_path(target), json.dumps({"digest": fresh.digest}).encode())
    _write(target, data)
    click.echo(f"{dest}: published generation {fresh.generation}, {fresh.digest}")
    return 0


@command.command()
@click.argument("file")
@operator_option
def accept(file: str, operator_file: str | None) -> int:
    """Name FILE's present content as accepted, though it takes too many ready servers away.

    A balancer that holds it back takes it then; nothing else is let in by this.
    """
    found = _read(file, EndpointFileRules.from_settings(servers_section(operator_file)))
    _write(approval_path(Path(file)), json.dumps({"digest": found.digest}).encode())
    click.echo(f"{file}: generation {found.generation}, {found.digest} is accepted")
    return 0


def _write(path: Path, data: bytes) -> None:
    try:
        write_atomic(path, data)
    except OSError as error:
        raise ConfigurationError(str(path), [Violation("", error.strerror or str(error))]) from None


@command.command()
@click.argument("file")
@click.option("--discovery", metavar="FILE", required=True, help="What discovery told, in its own JSON.")
@click.option("--silent-s", type=float, default=0.0, help="For how long discovery has told nothing since.")
@operator_option
def explain(file: str, discovery: str, silent_s: float, operator_file: str | None) -> int:
    """Tell which list would hold, and for each server why it stands in it as it does."""
    servers = servers_section(operator_file)
    rules = EndpointFileRules.from_settings(servers)
    found = _read(file, rules)
    data = read_all(Path(discovery), rules.max_bytes)
    _, value = load(discovery, data, rules.max_bytes)
    try:
        result = EndpointSnapshot.read(value)
    except (ValueError, KeyError, TypeError, OSError) as error:
        raise ConfigurationError(
            discovery, [Violation("", f"is not in discovery's form: {error!r}")]
        ) from None
    told = DiscoveryState(0)
    told.apply_update(
        0,
        {entry.name: ResolvedEndpoint(entry, result.addresses[entry.name]) for entry in result.endpoints},
        api.EndpointUpdateKind.FULL,
    )
    now = int(silent_s * MICROSECONDS_PER_SECOND)
    choice = select_source(now, MergePolicy.from_settings(servers), told, True, None)
    lines = merge.merge_endpoints(now, choice, told, found.servers, {})
    click.echo(f"{choice.source} holds: {choice.reason}")
    rows = [
        [name, *(str(part) for part in list(_row(line.resolved).values())[:4]), line.reason]
        for name, line in sorted(lines.items())
    ]
    rows += [
        [name, "", "", "", "gone", "discovery tells it is gone"]
        for name in told.gone
        if name in found.servers
    ]
    _table(rows, ["server", "address", "site", "weight", "state", "reason"])
    return 0
