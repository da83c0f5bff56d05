"""`wheatstile check`: checks the operator's file and the files that it names."""

import os
from dataclasses import dataclass, field
from pathlib import Path

import click

from wheatstile import interface as api
from wheatstile.cli.configuration import read_platform_config
from wheatstile.cli.endpoint_files import read_endpoint_file, rejection_reasons
from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.cli.options import platform_config_option
from wheatstile.config import operator
from wheatstile.config.operator import OperatorFile, Servers
from wheatstile.config.platform import Config, ConfigError
from wheatstile.config.violations import ConfigurationError, Violation, load_json, locate
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules
from wheatstile.resolvers.source_selection import MergeMode
from wheatstile.resolvers.update_guard import ActiveEndpoints


@dataclass
class Report:
    """The results of the checks."""

    reasons: list[str] = field(default_factory=list)  # reasons to reject the file
    skipped_checks: list[str] = field(default_factory=list)  # checks that were not performed, and why


@click.command("check")
@click.argument("file")
@platform_config_option
def command(file: str, config: str | None) -> ExitStatus:
    """Check the operator's FILE and the files that it names.

    These files are also checked against the platform's settings if --config or RELAY_CONFIG is set.
    Exit status 0: valid; 1: rejected, with all reasons on standard error.
    """
    try:
        operator_file = operator.read(file)
    except ConfigurationError as error:
        return reject(error.lines())
    report = Report()
    platform = _read_platform(config, report)
    _check_servers(operator_file, platform, report)
    _check_descriptions(operator_file, platform, report)
    if report.reasons:
        return reject(report.reasons)
    click.echo(f"{file}: valid")
    for skipped_check in report.skipped_checks:
        click.echo(f"not checked: {skipped_check}")
    return ExitStatus.OK


def _read_platform(config: str | None, report: Report) -> Config | None:
    try:
        platform = read_platform_config(config)
    except ConfigError as error:
        report.reasons.append(str(error))
        return None
    if platform is None:
        report.skipped_checks.append(
            "consistency with the platform's settings, because neither --config nor RELAY_CONFIG is set"
        )
    return platform


def _check_servers(operator_file: OperatorFile, platform: Config | None, report: Report) -> None:
    section = operator_file.settings.servers
    if not section.file:
        return
    _check_state_directory(operator_file, report)
    path = operator_file.resolve_path(section.file)
    if not path.exists():
        report.reasons.append(_format_violation(operator_file, "/servers/file", f"file not found: {path}"))
        return
    try:
        endpoint_file = read_endpoint_file(str(path), EndpointFileRules.from_settings(section))
    except ConfigurationError as error:
        report.reasons += error.lines()
        return
    if platform:
        _check_against_platform(path, endpoint_file, section, platform, report)


def _check_state_directory(operator_file: OperatorFile, report: Report) -> None:
    state_dir = operator_file.settings.servers.state_dir
    if not state_dir:
        return
    directory = operator_file.resolve_path(state_dir)
    if not (directory.is_dir() and os.access(directory, os.W_OK)):
        reason = f"{directory} is not a writable directory"
        report.reasons.append(_format_violation(operator_file, "/servers/state_dir", reason))


def _check_against_platform(
    path: Path, endpoint_file: EndpointFile, section: Servers, platform: Config, report: Report
) -> None:
    """Check the endpoint file against the servers that the platform's file lists."""
    ready = [endpoint for endpoint in platform.known.endpoints if endpoint.state == api.EndpointState.READY]
    sites = tuple(sorted({endpoint.zone for endpoint in ready} - {""}))
    # In the other modes, the endpoint file does not replace the platform's servers when the balancer starts.
    is_override = MergeMode(section.mode) is MergeMode.OVERRIDE
    replaced_names = frozenset(endpoint.name for endpoint in ready) if is_override else frozenset()
    active = ActiveEndpoints(None, sites, replaced_names)
    for reason in rejection_reasons(endpoint_file, active, EndpointFileRules.from_settings(section)):
        report.reasons.append(f"{path}:1: /: {reason}")
    own_zone = platform.settings.zone
    if not any(resolved.endpoint.zone == own_zone for resolved in endpoint_file.servers.values()):
        report.skipped_checks.append(
            f'whether another source lists servers of this balancer\'s own site "{own_zone}", '
            "because the endpoint file lists none"
        )


def _check_descriptions(operator_file: OperatorFile, platform: Config | None, report: Report) -> None:
    section = operator_file.settings.descriptions
    if not (section.paths or section.rules or section.classes):
        return
    from wheatstile.cli.description_sets import compile_for_command
    from wheatstile.descriptions.findings import InvalidDescriptionError

    paths = [operator_file.resolve_path(path) for path in section.paths]
    try:
        compiled = compile_for_command(paths, operator_file, platform).descriptions
    except InvalidDescriptionError as error:
        report.reasons += error.lines()
        return
    report.skipped_checks += [f"consistency of the descriptions: {warning}" for warning in compiled.warnings]


def _format_violation(operator_file: OperatorFile, pointer: str, reason: str) -> str:
    """Format a violation of the operator's file at this JSON pointer, with its line number."""
    data = Path(operator_file.path).read_bytes()
    text, _ = load_json(str(operator_file.path), data, len(data))
    violations = locate(text, [Violation(pointer, reason)])
    return ConfigurationError(str(operator_file.path), violations).lines()[0]
