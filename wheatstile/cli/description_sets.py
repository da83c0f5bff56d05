"""Descriptions compiled as the balancer would, with the platform's classes where they are known."""

from collections.abc import Iterable
from pathlib import Path

from wheatstile.config.operator import OperatorFile
from wheatstile.config.platform import Config
from wheatstile.descriptions import reader
from wheatstile.descriptions.compile_types import CompiledDescriptions
from wheatstile.descriptions.reader import DEFAULT_MAX_ATTEMPTS, DescriptionSet
from wheatstile.descriptions.worker_protocol import class_settings


def compile_descriptions(
    paths: Iterable[str | Path],
    operator_file: OperatorFile | None,
    platform: Config | None,
    *,
    strict: bool = False,
) -> tuple[CompiledDescriptions, DescriptionSet]:
    """Return the descriptions at these paths, compiled and as read.

    `strict`: warnings are conflicts. Raises InvalidDescriptionError with every conflict, ConfigurationError.
    """
    classes = reader.class_policies(class_settings(platform)) if platform else None
    max_attempts = platform.settings.max_attempts if platform else DEFAULT_MAX_ATTEMPTS
    return reader.compile_paths(paths, operator_file, classes, max_attempts, strict)
