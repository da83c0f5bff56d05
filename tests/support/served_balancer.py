"""The running program with an endpoint file, and a fleet of servers that answer by themselves."""

import itertools
import json
import time
from pathlib import Path
from typing import Any

from fleet import Fleet

from support.balancer import Balancer
from support.peer import TIMEOUT_S, Peer
from wheatstile.resolvers.canonical_json import digest_of

ACCEPTED_EVENT = "endpoint_file_accepted"
SERVERS = ("s1", "s2", "s3")
CLIENT_DEADLINE_MS = 9000


class ServedBalancer(Balancer):
    """A balancer whose operator's file names an endpoint file, in mode override unless the section says else.

    It is prepared, and started by `begin`.

    Args:
        known: the servers that the platform's file lists as discovery's.
        section: changes to the `servers` section of the operator's file.
    """

    def __init__(self, known: tuple[str, ...] = ("s1", "s2"), **section: object) -> None:
        super().__init__(settings={})
        self.known = known
        self.section = section
        self.fleet = Fleet(SERVERS)
        self.here = Path(self.folder.name)
        self.file = self.here / "servers.json"
        self.operator = self.here / "operator.json"
        self.state_folder = self.here / "state"
        self.state_folder.mkdir()
        self.arguments = ("serve", "--file", str(self.operator))
        self.write_operator()
        self._ids = itertools.count(1)

    def close(self) -> None:
        """End the program and the fleet, and remove the files."""
        super().close()
        self.fleet.close()

    def write_operator(self, **changes: object) -> None:
        """Write the operator's file with these changes to its section."""
        defaults = {"file": "servers.json", "mode": "override", "settle_s": 0.05, "recheck_s": 0.3}
        self.operator.write_text(json.dumps({"servers": defaults | self.section | changes}))

    def document(self, *names: str, generation: int = 1, seal: bool = True, **changes: object) -> bytes:
        """An endpoint file of these servers; the changes apply to every row."""
        rows = [
            {"id": name, "address": self.fleet.addresses[name], "site": "here"} | changes for name in names
        ]
        value: dict[str, Any] = {"servers": rows, "generation": generation}
        if seal:
            value["seal"] = digest_of(value)
        return json.dumps(value).encode()

    def discovered(self, name: str, **changes: object) -> dict[str, Any]:
        """A server of the fleet in discovery's form."""
        return self.member(name, host_port=self.fleet.addresses[name], **changes)

    def begin(self) -> None:
        """Start the balancer, and return once it answers."""
        self.start([self.discovered(name) for name in self.known])

    def wait_accepted(self) -> dict[str, Any]:
        """Wait for the next endpoint file to be accepted; returns its log entry."""
        return self.logged(ACCEPTED_EVENT)

    def wait_generation(self, generation: int) -> None:
        """Wait until the endpoint file of this generation is accepted."""
        while self.wait_accepted()["generation"] != generation:
            pass

    def wait_source(self) -> str:
        """Wait for the next selection of a source; returns its name."""
        source: str = self.logged("endpoint_source_selected")["source"]
        return source

    def open_client(self, group: str | None = None) -> Peer:
        """A new client that has sent its first line."""
        number = next(self._ids)
        return self.open(number, CLIENT_DEADLINE_MS, group=group or f"g{next(self._ids)}")

    def connect(self) -> str:
        """The first word that a new client is answered."""
        client = self.open_client()
        try:
            word: str = client.line().partition(" ")[0]
            return word
        finally:
            client.close()

    def served_by(self, clients: int = 12) -> set[str]:
        """The servers that so many new clients are sent to; each has to be served."""
        before = self.fleet.opened.copy()
        assert {self.connect() for _ in range(clients)} == {"UP"}
        return set(self.fleet.opened - before)

    def wait_served_by(self, names: set[str]) -> None:
        """Wait until new clients are sent to these servers alone."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while self.served_by(6) != names:
            assert time.monotonic() < deadline_s
