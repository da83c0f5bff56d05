"""Compiles descriptions for commands by the same rules as the balancer."""

from collections.abc import Iterable
from pathlib import Path

from wheatstile.config.operator import OperatorFile
from wheatstile.config.platform import Config
from wheatstile.descriptions import reader
from wheatstile.descriptions.reader import DEFAULT_MAX_ATTEMPTS, Compilation
from wheatstile.descriptions.worker_protocol import class_settings


def compile_for_command(
    paths: Iterable[str | Path],
    operator_file: OperatorFile | None,
    platform: Config | None,
    *,
    strict: bool = False,
) -> Compilation:
    """Return the compiled descriptions at these paths.

    platform: the platform's configuration; None if it is not known, which skips the check of class names.
    strict: treat warnings as conflicts.
    Raises InvalidDescriptionError with every conflict.
    """
    classes = reader.class_policies(class_settings(platform)) if platform else None
    max_attempts = platform.settings.max_attempts if platform else DEFAULT_MAX_ATTEMPTS
    return reader.compile_paths(paths, operator_file, classes, max_attempts, strict)
