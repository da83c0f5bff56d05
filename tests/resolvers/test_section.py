"""The running program and its file of servers: what is applied, what is not, what clients see meanwhile."""

import itertools
import json
import os
import random
import signal
import threading
import time
from pathlib import Path
from typing import Any

from fleet import Fleet
from peers import PATIENCE, NodeTest

from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.canonical_json import digest_of

TAKEN = "endpoint_file_accepted"


class ServersFileTest(NodeTest):
    """A balancer whose operator's file names a file of servers; a fleet of three that answers by itself."""

    section: dict[str, Any] = {}  # noqa: RUF012
    known: tuple[str, ...] = ("s1", "s2")

    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(["s1", "s2", "s3"])
        self.addCleanup(self.fleet.close)
        self.here = Path(self.folder.name)
        self.file, self.operator = self.here / "servers.json", self.here / "operator.json"
        (self.here / "state").mkdir()
        self.arguments = ("serve", "--file", str(self.operator))
        self.write_operator()
        self.ids = itertools.count(1)

    def write_operator(self, **changes: Any) -> None:
        section = {"file": "servers.json", "mode": "override", "settle_s": 0.05, "recheck_s": 0.3}
        self.operator.write_text(json.dumps({"servers": section | self.section | changes}))

    def document(self, *names: str, generation: int = 1, seal: bool = True, **changes: Any) -> bytes:
        rows = [
            {"id": name, "address": self.fleet.addresses[name], "site": "here"} | changes for name in names
        ]
        value: dict[str, Any] = {"servers": rows, "generation": generation}
        return json.dumps(value | ({"seal": digest_of(value)} if seal else {})).encode()

    def begin(self) -> None:
        self.start([self.member(name, host_port=self.fleet.addresses[name]) for name in self.known])

    def connect(self, wait: int = 9000) -> str:
        """A client's first answer."""
        client = self.open(next(self.ids), wait, group=f"g{next(self.ids)}")
        try:
            return client.line().partition(" ")[0]
        finally:
            client.close()

    def served_by(self, clients: int = 12) -> set[str]:
        """The servers that new clients are sent to."""
        before = self.fleet.opened.copy()
        assert {self.connect() for _ in range(clients)} == {"UP"}
        return set(self.fleet.opened - before)


class Rewriting(ServersFileTest):
    section = {"most_removed": 1.0}  # noqa: RUF012

    def rewrite(self, documents: list[bytes], times: int) -> None:
        """One writer that rewrites the file in place, in pieces of random sizes, now and then cut short."""
        chance = random.Random(7)
        with open(self.file, "r+b", buffering=0) as file:
            for number in range(times):
                data, at = documents[number % len(documents)], 0
                file.seek(0)
                while at < len(data):
                    piece = chance.randint(1, len(data) // 2)
                    file.write(data[at : at + piece])
                    at += piece
                    if chance.random() < 0.02:
                        time.sleep(0.002)
                if chance.random() < 0.5:
                    file.truncate(len(data))

    def check(self, seal: bool) -> None:
        # Documents that share a length and differ in a few bytes: their mixtures parse, and hold.
        sets = [("s1", "s2"), ("s2", "s1"), ("s1", "s3"), ("s3", "s2"), ("s1", "s2", "s3")]
        whole = [
            self.document(*names, generation=1000 + number, seal=seal, weight=1.0 + number % 7)
            for number, names in enumerate(sets * 40)
        ]
        self.file.write_bytes(self.document("s1", "s2", seal=seal))
        self.begin()
        taken = [self.logged(TAKEN)]
        writer = threading.Thread(target=self.rewrite, args=(whole, 5000))
        writer.start()
        answers = set()
        while writer.is_alive():
            answers.add(self.connect())
        writer.join()
        assert answers == {"UP"}
        last = self.document("s3", generation=9999, seal=seal)
        write_atomic(self.file, last)
        while taken[-1]["generation"] != 9999:
            taken.append(self.logged(TAKEN))
        assert self.served_by() == {"s3"}
        digests = {
            digest_of({k: v for k, v in json.loads(data).items() if k != "seal"}) for data in [*whole, last]
        }
        assert {entry["digest"] for entry in taken[1:]} <= digests
        generations = [entry["generation"] for entry in taken]
        assert generations == sorted(set(generations))

    def test_five_thousand_rewritings_in_place_of_sealed_files_apply_whole_ones_alone(self) -> None:
        self.check(seal=True)

    def test_five_thousand_rewritings_in_place_of_unsealed_files_apply_whole_ones_alone(self) -> None:
        # A writer that rests in the middle for longer than this can be believed; none does on this machine.
        self.write_operator(settle_s=1.0)
        self.check(seal=False)


class WhatHolds(ServersFileTest):
    def test_a_broken_or_emptying_file_changes_nothing_and_says_why(self) -> None:
        self.file.write_bytes(self.document("s1", "s2", "s3"))
        self.begin()
        self.logged(TAKEN)
        good = self.document("s1", generation=2)
        cases = [
            (good[:40], "endpoint_file_rejected", "no JSON"),
            (
                self.document("s1", "s2", "s3", generation=2, site="there"),
                "endpoint_file_rejected",
                'site "here"',
            ),
            (good, "endpoint_file_approval_required", "2 of 3 ready"),
        ]
        for data, event, reason in cases:
            write_atomic(self.file, data)
            assert reason in " ".join(self.logged(event)["reasons"])
            assert self.served_by(30) == {"s1", "s2", "s3"}
        self.file.unlink()
        self.logged("endpoint_file_unreadable")
        os.mkfifo(self.file)
        assert "a FIFO" in self.logged("endpoint_file_unreadable")["reasons"][0]
        assert self.served_by(30) == {"s1", "s2", "s3"}

    def test_a_held_change_is_taken_once_it_is_accepted_by_name(self) -> None:
        self.file.write_bytes(self.document("s1", "s2", "s3"))
        self.begin()
        self.logged(TAKEN)
        write_atomic(self.file, self.document("s2", generation=2))
        digest = self.logged("endpoint_file_approval_required")["digest"]
        write_atomic(self.here / "servers.json.accept", json.dumps({"digest": digest}).encode())
        assert self.logged(TAKEN)["generation"] == 2
        assert self.served_by() == {"s2"}

    def test_what_discovery_drains_gets_nothing_new_though_the_file_says_ready(self) -> None:
        self.file.write_bytes(self.document("s1", "s2", "s3"))
        self.begin()
        self.logged(TAKEN)
        stays = self.open(next(self.ids), group="stays")
        assert stays.line() == "UP r"
        watch, _ = self.discovery.watch()
        watch.begin_watch()
        members = [self.member(name, host_port=self.fleet.addresses[name]) for name in ("s1", "s2")]
        watch.chunk(2, members[0] | {"phase": "shutdown_started"}, members[1] | {"phase": "gone"})
        deadline_s = time.monotonic() + PATIENCE
        while self.served_by(6) != {"s3"}:
            assert time.monotonic() < deadline_s
        write_atomic(self.file, self.document("s1", "s2", "s3", generation=2, weight=3.0))
        self.logged(TAKEN)
        assert self.served_by() == {"s3"}
        stays.send("still")
        assert stays.line() == "still"

    def test_a_sighup_and_a_change_of_the_file_in_the_same_moment(self) -> None:
        self.file.write_bytes(self.document("s1", "s2"))
        self.begin()
        self.logged(TAKEN)
        assert self.node
        for generation in range(2, 12):
            names = ("s1", "s3") if generation % 2 else ("s2", "s3")
            self.write_operator(recheck_s=0.3 + generation / 100)
            write_atomic(self.file, self.document(*names, generation=generation))
            self.node.send_signal(signal.SIGHUP)
            while self.logged(TAKEN)["generation"] != generation:
                pass
            assert self.served_by(20) == set(names)
        self.operator.write_text('{"servers": {"mode": "overide"}}')
        self.node.send_signal(signal.SIGHUP)
        assert "did you mean" in self.logged("operator_file_reload_rejected")["reasons"][0]
        assert self.served_by(20) == {"s1", "s3"}
        self.operator.write_text("{}")  # switched off: discovery's list alone
        self.node.send_signal(signal.SIGHUP)
        self.logged("operator_file_reloaded")
        assert self.served_by(20) == {"s1", "s2"}


class Fallback(ServersFileTest):
    section = {"mode": "fallback", "after_s": 1.0, "hold_down_s": 0.0, "most_removed": 1.0}  # noqa: RUF012

    def test_discovery_down_and_back_and_down_again_with_the_file_changing(self) -> None:
        self.file.write_bytes(self.document("s3"))
        self.begin()
        assert self.served_by() == {"s1", "s2"}  # it has a second to be heard of
        source = self.logged("endpoint_source_selected")
        while source["source"] != "file":
            source = self.logged("endpoint_source_selected")
        assert self.served_by() == {"s3"}
        for generation, name in ((2, "s2"), (3, "s3")):
            watch, _ = self.discovery.watch()
            watch.begin_watch()
            members = [self.member(one, host_port=self.fleet.addresses[one]) for one in ("s1", "s2")]
            watch.chunk(10 * generation, *members, complete=True)
            assert self.logged("endpoint_source_selected")["source"] == "discovery"
            assert self.served_by(20) == {"s1", "s2"}
            write_atomic(self.file, self.document(name, generation=generation))
            self.logged(TAKEN)
            watch.close()
            assert self.logged("endpoint_source_selected")["source"] == "file"
            assert self.served_by() == {name}


class LastKnownGood(ServersFileTest):
    section = {"state_dir": "state"}  # noqa: RUF012
    known: tuple[str, ...] = ()

    def test_a_restart_onto_a_broken_file_serves_from_the_last_good_list(self) -> None:
        self.file.write_bytes(self.document("s1", "s3"))
        self.begin()
        self.logged(TAKEN)
        kept = self.here / "state" / "servers-last-good.json"
        deadline_s = time.monotonic() + PATIENCE
        while not kept.exists():
            assert time.monotonic() < deadline_s
            time.sleep(0.01)
        self.stop()
        self.file.write_bytes(b'{"servers": [{"id"')
        # The clock has gone back by a day since: the age makes no sense, the list does.
        value = json.loads(kept.read_text()) | {"taken_at_ms": int((time.time() + 86400) * 1000)}
        del value["seal"]
        kept.write_text(json.dumps(value | {"seal": digest_of(value)}))
        self.begin()
        entry = self.logged(TAKEN)
        assert (entry["origin"], entry["clock_went_back"]) == ("last_known_good", True)
        self.logged("endpoint_file_rejected")
        assert self.served_by() == {"s1", "s3"}
        self.stop()
        kept.write_bytes(kept.read_bytes()[:-20])  # itself broken: passed over, with a word
        self.file.write_bytes(self.document("s2"))
        self.begin()
        self.logged("last_known_good_rejected")
        assert self.logged(TAKEN)["origin"] == "file"
        assert self.served_by() == {"s2"}

    def test_a_full_disk_costs_the_last_good_list_and_nothing_else(self) -> None:
        self.file.write_bytes(self.document("s1", "s2"))
        self.file_size = 100
        self.begin()
        assert self.logged("last_known_good_write_failed")["reason"] == "File too large"
        assert os.listdir(self.here / "state") == []
        assert self.served_by() == {"s1", "s2"}
