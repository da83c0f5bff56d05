"""One real balancer: its signals, and its life from start to drain."""

import asyncio
import errno
import os
import resource
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import structlog
import uvloop

from wheatstile import interface as api
from wheatstile import logs
from wheatstile.config.platform import Config, ConfigError
from wheatstile.net.client_listener import ClientListener
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.discovery_watcher import DiscoveryOnlyObserver, DiscoveryWatcher
from wheatstile.net.graceful_shutdown import GracefulShutdown
from wheatstile.net.latency_monitor import LatencyMonitor
from wheatstile.net.line_stream import LINGER_S
from wheatstile.net.unresponsive_upstream_detector import UnresponsiveUpstreamDetector
from wheatstile.net.upstream_pool import UpstreamPool

if TYPE_CHECKING:  # what is switched off is not imported
    from wheatstile.config.operator import OperatorFile
    from wheatstile.descriptions.section import DescriptionsSection
    from wheatstile.resolvers.section import ServersSection

log = structlog.get_logger()

BACKLOG = 1024
ADDRESS_WITHIN = 6.0  # seconds: more than the longest drain, after which a predecessor's address is free
KILLED_AFTER = 0.7  # seconds, beside the longest deadline, from SIGTERM to SIGKILL at the earliest
COUNTED_DEADLINE = 3.0  # seconds that a longer longest deadline is taken as there
STILL_COMING = 0.5  # seconds in which new connections still come after SIGTERM
FIXED = ("name", "listen", "seed", "known")  # of the configuration: what holds from start to end
# Seconds before SIGKILL by which the last client has been told to move, and over which they are spread: until
# then they are served here, and where balancers are restarted in turn, the one before this may still be down.
SPARE, SPREAD = 0.7, 1.3
OPERATOR_FILE = "WHEATSTILE_FILE"  # the variable that names the operator's file, where no option does


async def listening(address: tuple[str, int], terminated: asyncio.Event) -> socket.socket | None:
    """A listener on `address`; while a process that is about to end still holds it, it is waited for.

    None if this process is to end meanwhile: it has nobody to serve. Raises OSError when the address cannot
    be had within ADDRESS_WITHIN.
    """
    loop = asyncio.get_running_loop()
    end, told = loop.time() + ADDRESS_WITHIN, False
    while True:
        try:
            listener = socket.create_server(address, backlog=BACKLOG)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() > end:
                raise
            if not told:
                where = f"{address[0]}:{address[1]}"
                log.warning("the address is held", address=where, wait_s=ADDRESS_WITHIN)
            told = True
            with suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await terminated.wait()
                return None
        else:
            listener.setblocking(False)
            return listener


async def supervised(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Keep a part of the balancer at work: a fault is logged, and the part goes on."""
    while True:
        try:
            await work()
        except Exception:
            log.exception("a part failed and starts again", part=name)
        await asyncio.sleep(0.05)


class Node:
    """The running balancer: its parts, and what its signals do to them."""

    def __init__(
        self, config: Config, operator: "OperatorFile | None" = None, learnt: dict[str, Any] | None = None
    ) -> None:
        self.config, self.operator, self.learnt = config, operator, learnt
        self.terminated = asyncio.Event()
        self.decisions = DecisionLoop(config.settings, config.seed)
        self.upstreams = UpstreamPool(self.decisions, config.servers)
        self.discovery_watcher = DiscoveryWatcher(
            self.decisions, DiscoveryOnlyObserver(self.decisions, self.upstreams), config.discovery
        )
        self.channels = ClientListener(self.decisions, self.upstreams, config.channels)
        self.servers_section: ServersSection | None = None
        self.descriptions_section: DescriptionsSection | None = None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.terminated.set)
        loop.add_signal_handler(signal.SIGINT, self.terminated.set)
        loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("counters", **self.decisions.counters))
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # main held it back until now

    def reload(self) -> None:
        """Follow the files as they are now, and leave what stands alone; an unusable one changes nothing.

        Discovery is the file's from here on: RELAY_DISCOVERY tells where it was when the process started.
        """
        self.decisions.counters["reloads"] += 1
        self._reload_operator()
        environ = {name: value for name, value in os.environ.items() if name != "RELAY_DISCOVERY"}
        try:
            new = Config.read(environ)
        except ConfigError as error:
            self.decisions.counters["reloads failed"] += 1
            log.error("the old configuration goes on", reason=str(error))
            return
        kept = [key for key in FIXED if getattr(new, key) != getattr(self.config, key)]
        self.config = replace(new, **{key: getattr(self.config, key) for key in FIXED})
        self.configure()
        self.upstreams.limits, self.channels.limits = new.servers, new.channels
        self.discovery_watcher.follow(new.discovery)
        log.info("reloaded", discovery=new.discovery, only_at_the_next_start=kept)

    def _reload_operator(self) -> None:
        """The operator's file, whole or not at all, whatever becomes of the platform's."""
        if self.operator is None:
            return
        from wheatstile.config import operator, violations

        try:
            self.operator = operator.read(str(self.operator.path))
        except violations.ConfigurationError as refused:
            self.decisions.counters["reloads failed"] += 1
            log.error("the old operator's file goes on", reasons=refused.lines())
            return
        self.follow_operator()
        log.info("operator's file read again", file=str(self.operator.path))

    def configure(self) -> None:
        """Have the module decide by the platform's settings, as far as descriptions do not tighten them."""
        settings = self.config.settings
        if self.descriptions_section:
            settings = self.descriptions_section.applied(settings)
        self.decisions.configure(settings)
        if self.operator and self.descriptions_section:
            self.descriptions_section.follow(self.operator, self.config)

    def follow_operator(self) -> None:
        """Switch on, change or switch off what the operator's file says; with none, nothing is imported."""
        if self.operator is None:
            return
        if self.servers_section is None and self.operator.settings.servers.file:
            from wheatstile.resolvers.section import ServersSection

            self.servers_section = ServersSection(self.decisions, self.upstreams, self.discovery_watcher)
        if self.servers_section:
            self.servers_section.follow(self.operator)
        if self.descriptions_section is None and self.operator.settings.descriptions.paths:
            from wheatstile.descriptions.section import DescriptionsSection

            self.descriptions_section = DescriptionsSection(self.decisions, self.learnt)
            self.configure()
        elif self.descriptions_section:
            self.descriptions_section.follow(self.operator, self.config)

    async def run(self) -> None:
        """Serve from start to SIGTERM, then send every client away while there is time."""
        # Before the address is had: a signal may be acted on as soon as there is somebody to tell of it.
        self.decisions.start(self.upstreams, self.discovery_watcher)
        self.discovery_watcher.on_update(self.config.known, api.EndpointUpdateKind.CACHED)
        if not self.config.settings.poll_endpoints:
            self.discovery_watcher.watch()  # what is pushed counts as told from the first moment
        self.follow_operator()
        listener = await listening(self.config.listen, self.terminated)
        if listener is None:
            log.info("told to end before it served")
            return
        with listener:
            accepting = asyncio.create_task(supervised("accept", lambda: self.channels.serve(listener)))
            parts = [
                asyncio.create_task(supervised("silence", UnresponsiveUpstreamDetector(self.channels).run)),
                asyncio.create_task(supervised("delays", LatencyMonitor(self.upstreams, self.decisions).run)),
            ]
            log.info("serving", name=self.config.name, servers=len(self.upstreams.by_name))
            await self.terminated.wait()
            log.info("draining", connections=len(self.decisions.sessions))
            time = min(self.config.longest_deadline, COUNTED_DEADLINE) + KILLED_AFTER
            begin = max(STILL_COMING, time - SPARE - SPREAD)
            await asyncio.sleep(begin)
            shutdown = GracefulShutdown(self.channels)
            await shutdown.migrate_sessions(time - SPARE - begin)
            accepting.cancel()
            await asyncio.wait([accepting])
            with suppress(TimeoutError):  # a time of its own: however late it is, all get an answer
                async with asyncio.timeout(LINGER_S):
                    await shutdown.close(listener)
            self.discovery_watcher.close()
            for section in (self.servers_section, self.descriptions_section):
                if section:
                    section.close()
            for part in parts:
                part.cancel()
            await asyncio.wait(parts)
        log.info("counters", **self.decisions.counters)


async def balance(
    config: Config, operator: "OperatorFile | None" = None, learnt: dict[str, Any] | None = None
) -> None:
    await Node(config, operator, learnt).run()


def main(file: str | None = None, log_format: str | None = None, log_level: str | None = None) -> int:
    """Serve from RELAY_*, and from the operator's file if one is named. Returns the exit status.

    1: an operator's file or descriptions that are refused, or an address nobody can listen on; 2: no usable
    RELAY_CONFIG.
    """
    # Unhandled, SIGHUP would end the process; held back until the node handles it, none is lost either.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    operator: OperatorFile | None = None
    if file := file or os.environ.get(OPERATOR_FILE):
        from wheatstile.config import operator as operator_file
        from wheatstile.config import violations

        try:
            operator = operator_file.read(file)
        except violations.ConfigurationError as refused:
            print("\n".join(refused.lines()), file=sys.stderr)
            return 1
    told = operator.settings.log if operator else None
    logs.configure(
        log_format or (told.format if told else "json"), log_level or (told.level if told else "info")
    )
    try:
        config = Config.read(os.environ)
    except ConfigError as error:
        print(f"wheatstile: {error}", file=sys.stderr)
        return 2
    learnt = None
    if operator and operator.settings.descriptions.paths:
        from wheatstile.descriptions.section import compile_first

        learnt = compile_first(operator, config)
        if "refused" in learnt:
            print("\n".join(learnt["refused"]), file=sys.stderr)
            return 1
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        uvloop.run(balance(config, operator, learnt))
    except OSError as error:
        print(f"wheatstile: {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 1
    return 0
