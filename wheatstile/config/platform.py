"""The platform's configuration: one JSON file and a few variables, as the deployment page has them."""

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import cast

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot, address_of
from wheatstile.config.errors import InvalidConfigurationError, MissingKeyError
from wheatstile.config.section import Section
from wheatstile.config.settings import message_latency_objectives_us, read_settings

MIN_DEADLINE_US = 1000  # the line protocol tells whole milliseconds


class ConfigError(InvalidConfigurationError):
    """A platform's configuration that cannot be used; the text names the file and says what is wrong."""


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """What the settings say of dealing with servers."""

    connect_timeout_s: float
    idle_timeout_s: float  # after which an unused connection is closed
    reports_message_latency: bool
    message_latency_objective_ms: float  # the shortest of all classes; 0: none is set
    descriptors: int

    @property
    def health_check_timeout_s(self) -> float:
        """For a health check's answer, once connected: twice what a message may take.

        It is answered beside the queue, so a sound server takes a pause of its own at most; each moment more
        is one in which newcomers still go to a server that hangs. Without objectives: the connect timeout.
        """
        return 2 * self.message_latency_objective_ms / 1000 or self.connect_timeout_s


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What the configuration says of dealing with clients."""

    descriptors: int
    deadlines_ms: dict[str, int]  # that a class's clients wait at most
    max_retry_after_ms: int  # that a client may be told to stay away; 0: clients are told no time


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
        """From the file that RELAY_CONFIG names; the other variables go before what it says.

        Raises ConfigError.
        """
        path = environ.get("RELAY_CONFIG")
        if not path:
            raise ConfigError("RELAY_CONFIG names no file")
        try:
            with open(path, encoding="utf-8") as file:
                document = json.load(file)
        except (OSError, ValueError, RecursionError) as error:
            raise ConfigError(f"{path}: {error}") from None
        try:
            return _read(document, environ)
        except MissingKeyError as error:
            raise ConfigError(f"{path}: the key {error.key} is missing") from None
        except KeyError as error:  # in the list of endpoints
            raise ConfigError(f"{path}: the key {error.args[0]} is missing") from None
        except (ValueError, TypeError, AttributeError, OSError, OverflowError) as error:
            raise ConfigError(f"{path}: {error}") from None


def _read(document: object, environ: Mapping[str, str]) -> Config:
    if not isinstance(document, dict):
        raise TypeError(f"must be an object, not {type(document).__name__}")
    config = Section(document)
    settings = Section(config.require("settings"))
    limits = settings.section("limits")
    descriptors = _descriptors(config)
    deadlines_ms = _deadlines_ms(settings)
    decisions = read_settings(config.require("settings"))
    return Config(
        name=environ.get("RELAY_NAME") or str(config.require("name")),
        listen=address_of(environ.get("RELAY_LISTEN") or config.text("listen")),
        discovery=address_of(environ.get("RELAY_DISCOVERY") or config.text("discovery")),
        seed=int(config.text("seed"), 16),
        known=EndpointSnapshot.read(config.require("known")),
        # The protocol on sockets has no line for a delay: what the settings promise are the simulator's
        # events. Slow messages are measured here too, but as clients send every 2 s and a server may answer
        # lines at once though it is full, the decisions cannot count on them and have to read loads.
        settings=replace(decisions, reports_message_latency=False),
        upstream_limits=_upstream_limits(settings, limits, descriptors),
        client_limits=ClientLimits(descriptors, deadlines_ms, _max_retry_after_ms(decisions)),
        longest_deadline_s=max(deadlines_ms.values()) / 1000,
    )


def _descriptors(config: Section) -> int:
    """Return how many descriptors may be open: what the platform gives, as far as the system allows it."""
    platform_limits = Section(config.require("limits"), "the platform's limits.")
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(platform_limits.integer("sockets", 1), hard_limit)


def _deadlines_ms(settings: Section) -> dict[str, int]:
    return {
        service_class.name("name"): service_class.integer("deadlineUs", MIN_DEADLINE_US) // 1000
        for service_class in settings.sections("classes")
    }


def _upstream_limits(settings: Section, limits: Section, descriptors: int) -> UpstreamLimits:
    # Checked, as far as there are classes for them, when the decisions' settings were read.
    objectives_us = cast(list[float], message_latency_objectives_us(settings))
    is_reported = settings.optional_section("familyInfo").flag("tellsDelay")
    return UpstreamLimits(
        connect_timeout_s=limits.number("dialTimeoutUs", 1) / 1e6,
        idle_timeout_s=limits.number("keepaliveUs", 1) / 1e6,
        reports_message_latency=is_reported and bool(objectives_us),
        message_latency_objective_ms=min(objectives_us, default=0.0) / 1000,
        descriptors=descriptors,
    )


def _max_retry_after_ms(settings: api.Settings) -> int:
    return settings.max_retry_after_us // 1000 if settings.retry_after_enabled else 0
