"""The optional subsystems. Each is imported and created when the operator's file first enables it."""

from typing import TYPE_CHECKING

from wheatstile.config.platform import Config
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.discovery_watcher import DiscoveryWatcher
from wheatstile.net.upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from wheatstile.config.operator import OperatorFile
    from wheatstile.descriptions.section import DescriptionsSection, StartupCompilation
    from wheatstile.resolvers.section import ServersSection


class OperatorSections:
    """Owns one subsystem for each section of the operator's file, and applies changes to the file to them."""

    def __init__(
        self,
        decision_loop: DecisionLoop,
        upstreams: UpstreamPool,
        discovery_watcher: DiscoveryWatcher,
        startup_compilation: "StartupCompilation | None",
    ) -> None:
        self.decision_loop = decision_loop
        self.upstreams = upstreams
        self.discovery_watcher = discovery_watcher
        self.startup_compilation = startup_compilation
        self.servers: ServersSection | None = None
        self.descriptions: DescriptionsSection | None = None

    def apply_operator_file(self, operator: "OperatorFile", config: Config) -> None:
        """Enable, reconfigure or disable each subsystem as the operator's file says."""
        self._apply_servers_section(operator)
        self._apply_descriptions_section(operator, config)

    def configure(self, operator: "OperatorFile | None", config: Config) -> None:
        """Pass the platform's settings, tightened by the descriptions, to the decision module."""
        settings = config.settings
        if self.descriptions:
            settings = self.descriptions.tightened_settings(settings)
        self.decision_loop.configure(settings)
        if operator and self.descriptions:
            self.descriptions.apply_operator_file(operator, config)

    def close(self) -> None:
        """Cancel the tasks of all subsystems."""
        if self.servers:
            self.servers.close()
        if self.descriptions:
            self.descriptions.close()

    def _apply_servers_section(self, operator: "OperatorFile") -> None:
        if self.servers is None and operator.settings.servers.file:
            from wheatstile.resolvers.section import ServersSection

            self.servers = ServersSection(self.decision_loop, self.upstreams, self.discovery_watcher)
        if self.servers:
            self.servers.apply_operator_file(operator)

    def _apply_descriptions_section(self, operator: "OperatorFile", config: Config) -> None:
        if self.descriptions:
            self.descriptions.apply_operator_file(operator, config)
        elif operator.settings.descriptions.paths:
            from wheatstile.descriptions.section import DescriptionsSection

            self.descriptions = DescriptionsSection(self.decision_loop, self.startup_compilation)
            self.configure(operator, config)
