"""The balancer's components and their lifecycle, from the start to the end of the graceful shutdown."""

import asyncio
import socket
from typing import TYPE_CHECKING

import structlog

from wheatstile import interface as api
from wheatstile import logs
from wheatstile.config.platform import Config
from wheatstile.net.client_listener import ClientListener
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.discovery_watcher import DiscoveryOnlyObserver, DiscoveryWatcher
from wheatstile.net.latency_monitor import LatencyMonitor
from wheatstile.net.unresponsive_upstream_detector import UnresponsiveUpstreamDetector
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.process import signals
from wheatstile.process.background_tasks import running_in_background
from wheatstile.process.graceful_shutdown import answer_pending_clients, migrate_clients
from wheatstile.process.listener_socket import bind_listener
from wheatstile.process.operator_sections import OperatorSections
from wheatstile.process.reload import reload_operator_file, reload_platform_config

if TYPE_CHECKING:  # optional subsystems are imported only when the operator's file enables them
    from wheatstile.config.operator import OperatorFile
    from wheatstile.descriptions.section import StartupCompilation

log = structlog.get_logger()


class BalancerProcess:
    """Owns the balancer's components and handles the process's signals.

    The constructor installs the signal handlers, so it must be called inside the running event loop.
    """

    def __init__(
        self,
        config: Config,
        operator: "OperatorFile | None" = None,
        startup_compilation: "StartupCompilation | None" = None,
    ) -> None:
        self.config = config
        self.operator = operator
        self.shutdown_requested = asyncio.Event()
        self.decision_loop = DecisionLoop(config.settings, config.seed)
        self.upstreams = UpstreamPool(self.decision_loop, config.upstream_limits)
        discovery_only = DiscoveryOnlyObserver(self.decision_loop, self.upstreams)
        self.discovery_watcher = DiscoveryWatcher(self.decision_loop, discovery_only, config.discovery)
        self.client_listener = ClientListener(self.decision_loop, self.upstreams, config.client_limits)
        self.sections = OperatorSections(
            self.decision_loop, self.upstreams, self.discovery_watcher, startup_compilation
        )
        signals.install_handlers(self.shutdown_requested.set, self.reload, self.report_counters)

    def report_counters(self) -> None:
        """Log the value of every counter above zero, as a field with the counter's name."""
        self.decision_loop.counters["log_lines_dropped"] = logs.STDERR.dropped_lines
        log.info("counters_reported", **+self.decision_loop.counters)

    def reload(self) -> None:
        """Read the operator's file and the platform's file again, and apply each one that is valid.

        A file that is rejected changes nothing.
        """
        self.decision_loop.counters["config_reloads"] += 1
        self._reload_operator_file()
        self._reload_platform_config()

    def _reload_operator_file(self) -> None:
        if self.operator is None:
            return
        latest = reload_operator_file(self.operator)
        if latest is None:
            self.decision_loop.counters["config_reloads_rejected"] += 1
            return
        self.operator = latest
        self.sections.apply_operator_file(latest, self.config)
        log.info("operator_file_reloaded", file=str(latest.path))

    def _reload_platform_config(self) -> None:
        reloaded = reload_platform_config(self.config)
        if reloaded is None:
            self.decision_loop.counters["config_reloads_rejected"] += 1
            return
        self.config = reloaded.config
        self.sections.configure(self.operator, self.config)
        self.upstreams.limits = self.config.upstream_limits
        self.client_listener.limits = self.config.client_limits
        self.discovery_watcher.set_address(self.config.discovery)
        log.info("config_reloaded", discovery=self.config.discovery, pending_restart=reloaded.pending_restart)

    def _start_components(self) -> None:
        self.decision_loop.start(self.upstreams, self.discovery_watcher)
        self.discovery_watcher.on_update(self.config.known, api.EndpointUpdateKind.CACHED)
        # If discovery is polled, the decision module requests the first watch.
        if not self.config.settings.poll_endpoints:
            self.discovery_watcher.watch()
        if self.operator:
            self.sections.apply_operator_file(self.operator, self.config)

    async def run(self) -> None:
        """Serve until a shutdown is requested, then shut down gracefully and ignore all later signals.

        Raises OSError if the listening socket cannot be bound.
        """
        try:
            await self._run()
        finally:
            signals.ignore_all()

    async def _run(self) -> None:
        # The components start first, because a signal may arrive during the bind, and its handler uses them.
        self._start_components()
        listener = await bind_listener(self.config.listen, self.shutdown_requested)
        if listener is None:
            log.info("shutdown_requested_before_serving")
            return
        with listener:
            await self._serve(listener)
        self.report_counters()

    async def _serve(self, listener: socket.socket) -> None:
        monitors = {
            "unresponsive_upstream_detector": UnresponsiveUpstreamDetector(self.client_listener).run,
            "latency_monitor": LatencyMonitor(self.upstreams, self.decision_loop).run,
        }
        async with running_in_background(monitors):
            async with running_in_background({"accept": lambda: self.client_listener.serve(listener)}):
                log.info("serving_started", name=self.config.name, servers=len(self.upstreams.by_name))
                await self.shutdown_requested.wait()
                log.info("shutdown_started", connections=len(self.decision_loop.sessions))
                await migrate_clients(self.client_listener, self.config.longest_deadline_s)
            await answer_pending_clients(self.client_listener, listener)
            self.discovery_watcher.close()
            self.sections.close()
