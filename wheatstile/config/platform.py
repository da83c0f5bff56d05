"""Reads the platform's configuration: the JSON file that RELAY_CONFIG names, and other RELAY_* variables."""

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import cast

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot, parse_host_port
from wheatstile.config.errors import InvalidConfigurationError, MissingKeyError
from wheatstile.config.section import Section
from wheatstile.config.settings import message_latency_objectives_us, read_settings
from wheatstile.config.units import MS_PER_S, US_PER_MS, US_PER_S

# The environment variables of the platform.
CONFIG_VARIABLE = "RELAY_CONFIG"
NAME_VARIABLE = "RELAY_NAME"
LISTEN_VARIABLE = "RELAY_LISTEN"
DISCOVERY_VARIABLE = "RELAY_DISCOVERY"

MIN_DEADLINE_US = US_PER_MS  # the line protocol carries deadlines in whole milliseconds
HEALTH_CHECK_TIMEOUT_FACTOR = 2  # multiple of the message latency objective


class ConfigError(InvalidConfigurationError):
    """The platform's configuration was rejected. The message names the file and the reason."""


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """The limits for connections to servers."""

    connect_timeout_s: float
    idle_timeout_s: float  # an unused connection is closed after this time
    reports_message_latency: bool  # True if slow servers are reported to the decision module
    message_latency_objective_ms: float  # shortest objective of all classes; 0 if none is set
    max_descriptors: int  # maximum number of open file descriptors of the process

    @property
    def health_check_timeout_s(self) -> float:
        """The timeout for the answer to a health check on an established connection.

        It is a multiple of the message latency objective, or the connect timeout if there is no objective. A
        short timeout is enough, because servers answer health checks ahead of their queue. It is also needed,
        because a server that hangs gets new sessions until the timeout.
        """
        timeout_ms = HEALTH_CHECK_TIMEOUT_FACTOR * self.message_latency_objective_ms
        return timeout_ms / MS_PER_S or self.connect_timeout_s


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """The limits for connections from clients."""

    max_descriptors: int  # maximum number of open file descriptors of the process
    deadlines_ms: dict[str, int]  # longest time that a client waits, by class
    max_retry_after_ms: int  # longest retry delay in a rejection; 0 if rejections carry no delay


@dataclass(frozen=True, slots=True)
class Config:
    """The platform's configuration of one balancer."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    known: EndpointSnapshot
    settings: api.Settings
    upstream_limits: UpstreamLimits
    client_limits: ClientLimits
    longest_deadline_s: float

    @classmethod
    def read(cls, environ: Mapping[str, str]) -> "Config":
        """Read the file that RELAY_CONFIG names. The other variables have priority over it.

        Raises ConfigError.
        """
        path = environ.get(CONFIG_VARIABLE)
        if not path:
            raise ConfigError(f"{CONFIG_VARIABLE} is not set or is empty")
        try:
            with open(path, encoding="utf-8") as file:
                document = json.load(file)
        except (OSError, ValueError, RecursionError) as error:
            raise ConfigError(f"{path}: {error}") from None
        try:
            return _read(document, environ)
        except MissingKeyError as error:
            raise ConfigError(f"{path}: the key {error.key} is missing") from None
        except KeyError as error:  # raised for an endpoint list without a required key
            raise ConfigError(f"{path}: the key {error.args[0]} is missing") from None
        except (ValueError, TypeError, AttributeError, OSError, OverflowError) as error:
            raise ConfigError(f"{path}: {error}") from None


def _read(document: object, environ: Mapping[str, str]) -> Config:
    if not isinstance(document, dict):
        raise TypeError(f"must be an object, not {type(document).__name__}")
    config = Section(document)
    settings = Section(config.require("settings"))
    limits = settings.section("limits")
    max_descriptors = _max_descriptors(config)
    deadlines_ms = _deadlines_ms(settings)
    decision_settings = read_settings(config.require("settings"))
    return Config(
        name=environ.get(NAME_VARIABLE) or str(config.require("name")),
        listen=parse_host_port(environ.get(LISTEN_VARIABLE) or config.text("listen")),
        discovery=parse_host_port(environ.get(DISCOVERY_VARIABLE) or config.text("discovery")),
        seed=int(config.text("seed"), 16),
        known=EndpointSnapshot.read(config.require("known")),
        # The setting applies to the simulator only: the line protocol has no message for latencies. The
        # latencies that the latency monitor measures do not replace load reports, because they are rare and
        # an overloaded server may still answer lines at once.
        settings=replace(decision_settings, reports_message_latency=False),
        upstream_limits=_upstream_limits(settings, limits, max_descriptors),
        client_limits=ClientLimits(max_descriptors, deadlines_ms, _max_retry_after_ms(decision_settings)),
        longest_deadline_s=max(deadlines_ms.values()) / MS_PER_S,
    )


def _max_descriptors(config: Section) -> int:
    """Return the maximum number of open file descriptors: the platform's limit, at most the hard limit."""
    platform_limits = Section(config.require("limits"), "the platform's limits.")
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(platform_limits.integer("sockets", 1), hard_limit)


def _deadlines_ms(settings: Section) -> dict[str, int]:
    return {
        service_class.name("name"): service_class.integer("deadlineUs", MIN_DEADLINE_US) // US_PER_MS
        for service_class in settings.sections("classes")
    }


def _upstream_limits(settings: Section, limits: Section, max_descriptors: int) -> UpstreamLimits:
    # `read_settings` has checked the objective of each class. Any surplus objective is unchecked, and may
    # raise TypeError, which Config.read reports.
    objectives_us = cast(list[float], message_latency_objectives_us(settings))
    is_reported = settings.optional_section("familyInfo").flag("tellsDelay")
    return UpstreamLimits(
        connect_timeout_s=limits.number("dialTimeoutUs", 1) / US_PER_S,
        idle_timeout_s=limits.number("keepaliveUs", 1) / US_PER_S,
        reports_message_latency=is_reported and bool(objectives_us),
        message_latency_objective_ms=min(objectives_us, default=0.0) / US_PER_MS,
        max_descriptors=max_descriptors,
    )


def _max_retry_after_ms(settings: api.Settings) -> int:
    return settings.max_retry_after_us // US_PER_MS if settings.retry_after_enabled else 0
