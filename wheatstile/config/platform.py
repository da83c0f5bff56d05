"""The platform's configuration: one JSON file and a few variables, as the deployment page has them."""

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot, address_of
from wheatstile.config.settings import number
from wheatstile.config.settings import settings as read_settings


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
        """Seconds that a server has for a probe's answer, once connected: twice what a message may take.

        It is answered beside the queue, so a sound server takes a pause of its own at most; each moment more
        is one in which newcomers still go to a server that hangs. Without aims: what it has to be connected.
        """
        return 2 * self.message_latency_objective_ms / 1000 or self.connect_timeout_s


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What the configuration says of dealing with clients."""

    descriptors: int
    deadlines_ms: dict[str, int]  # that a class's clients wait at most
    max_retry_after_ms: int  # that a client may be told to stay away; 0: clients are told no time


class ConfigError(ValueError):
    """A configuration nobody could balance by; the text says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class Config:
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
        """From the file that RELAY_CONFIG names; the other variables go before what it says."""
        path = environ.get("RELAY_CONFIG")
        if not path:
            raise ConfigError("RELAY_CONFIG names no file")
        try:
            with open(path, encoding="utf-8") as file:
                data = json.load(file)
        except (OSError, ValueError, RecursionError) as error:
            raise ConfigError(f"{path}: {error}") from None
        try:
            return cls._read(data, environ)
        except KeyError as error:
            raise ConfigError(f"{path}: the key {error.args[0]} is missing") from None
        except (ValueError, TypeError, AttributeError, OSError, OverflowError) as error:
            raise ConfigError(f"{path}: {error}") from None

    @classmethod
    def _read(cls, data: dict[str, Any], environ: Mapping[str, str]) -> "Config":
        settings = data["settings"]
        limits, aims = settings["limits"], settings.get("familyInfo", {}).get("messageAimUs") or []
        sockets = int(number(data["limits"], "sockets", "the platform's limits.", 1))
        descriptors = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
        deadlines = {  # a millisecond at least: the line tells whole ones
            str(kind["name"]): int(number(kind, "deadlineUs", f"classes[{at}].", 1000)) // 1000
            for at, kind in enumerate(settings["classes"])
        }
        decisions = read_settings(json.dumps(settings))
        return cls(
            environ.get("RELAY_NAME") or str(data["name"]),
            address_of(environ.get("RELAY_LISTEN") or data["listen"]),
            address_of(environ.get("RELAY_DISCOVERY") or data["discovery"]),
            int(data["seed"], 16),
            EndpointSnapshot.read(data["known"]),
            # The protocol on sockets has no line for a delay: what the settings promise are the simulator's
            # notes. Slow messages are noted here too, but as clients speak every 2 s and a server may answer
            # lines at once though it is full, the module cannot count on notes and has to read loads.
            replace(decisions, reports_message_latency=False),
            UpstreamLimits(
                number(limits, "dialTimeoutUs", "limits.", 1) / 1e6,
                number(limits, "keepaliveUs", "limits.", 1) / 1e6,
                bool(settings.get("familyInfo", {}).get("tellsDelay", False)) and bool(aims),
                min(aims, default=0.0) / 1000,
                descriptors,
            ),
            ClientLimits(
                descriptors,
                deadlines,
                decisions.max_retry_after_us // 1000 if decisions.retry_after_enabled else 0,
            ),
            max(deadlines.values()) / 1000,
        )
