"""The running program and its endpoint file: what is applied, what is not, what clients see meanwhile."""

import json
import os
import random
import signal
import threading
import time
from pathlib import Path

import pytest
from support.peer import TIMEOUT_S
from support.served_balancer import ServedBalancer
from support.served_balancer_factory import MakeBalancer

from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.canonical_json import digest_of

REWRITES = 5000
LAST_GENERATION = 9999


def rewrite_in_place(path: Path, documents: list[bytes], times: int) -> None:
    """Write the documents in turn, in pieces of random sizes with short pauses, now and then cut short."""
    chance = random.Random(7)
    with open(path, "r+b", buffering=0) as file:
        for number in range(times):
            data = documents[number % len(documents)]
            written = 0
            file.seek(0)
            while written < len(data):
                size = chance.randint(1, len(data) // 2)
                file.write(data[written : written + size])
                written += size
                if chance.random() < 0.02:
                    time.sleep(0.002)
            if chance.random() < 0.5:
                file.truncate(len(data))


def answers_while_rewriting(balancer: ServedBalancer, documents: list[bytes]) -> set[str]:
    """What new clients are answered while the file is rewritten in place."""
    writer = threading.Thread(target=rewrite_in_place, args=(balancer.file, documents, REWRITES))
    writer.start()
    answers = set()
    while writer.is_alive():
        answers.add(balancer.connect())
    writer.join()
    return answers


def digest_of_file(data: bytes) -> str:
    value = json.loads(data)
    value.pop("seal", None)
    return digest_of(value)


@pytest.mark.parametrize(
    ("seal", "settle_s"),
    [
        pytest.param(True, 0.05, id="sealed"),
        # A writer that pauses in the middle for longer than this can be believed; none does on this machine.
        pytest.param(False, 1.0, id="unsealed"),
    ],
)
def test_only_complete_files_are_applied_of_five_thousand_rewrites_in_place(
    make_balancer: MakeBalancer, seal: bool, settle_s: float
) -> None:
    balancer = make_balancer(most_removed=1.0)
    balancer.write_operator(settle_s=settle_s)
    # Documents that share a length and differ in a few bytes: their mixtures parse, and keep to the rules.
    server_sets = [("s1", "s2"), ("s2", "s1"), ("s1", "s3"), ("s3", "s2"), ("s1", "s2", "s3")]
    documents = [
        balancer.document(*names, generation=1000 + number, seal=seal, weight=1.0 + number % 7)
        for number, names in enumerate(server_sets * 40)
    ]
    balancer.file.write_bytes(balancer.document("s1", "s2", seal=seal))
    balancer.begin()
    accepted = [balancer.wait_accepted()]

    assert answers_while_rewriting(balancer, documents) == {"UP"}

    last = balancer.document("s3", generation=LAST_GENERATION, seal=seal)
    write_atomic(balancer.file, last)
    while accepted[-1]["generation"] != LAST_GENERATION:
        accepted.append(balancer.wait_accepted())
    assert balancer.served_by() == {"s3"}
    complete_digests = {digest_of_file(data) for data in [*documents, last]}
    assert {entry["digest"] for entry in accepted[1:]} <= complete_digests
    generations = [entry["generation"] for entry in accepted]
    assert generations == sorted(set(generations))


def test_broken_or_emptying_file_changes_nothing_and_is_reported(make_balancer: MakeBalancer) -> None:
    balancer = make_balancer()
    balancer.file.write_bytes(balancer.document("s1", "s2", "s3"))
    balancer.begin()
    balancer.wait_accepted()
    removing_two = balancer.document("s1", generation=2)
    at_other_site = balancer.document("s1", "s2", "s3", generation=2, site="there")
    cases = [
        (removing_two[:40], "endpoint_file_rejected", "no JSON"),
        (at_other_site, "endpoint_file_rejected", 'site "here"'),
        (removing_two, "endpoint_file_approval_required", "2 of 3 ready"),
    ]
    for data, event, reason in cases:
        write_atomic(balancer.file, data)
        assert reason in " ".join(balancer.logged(event)["reasons"])
        assert balancer.served_by(30) == {"s1", "s2", "s3"}
    balancer.file.unlink()
    balancer.logged("endpoint_file_unreadable")
    os.mkfifo(balancer.file)
    assert "a FIFO" in balancer.logged("endpoint_file_unreadable")["reasons"][0]
    assert balancer.served_by(30) == {"s1", "s2", "s3"}


def test_change_awaiting_approval_is_applied_once_accepted_by_name(make_balancer: MakeBalancer) -> None:
    balancer = make_balancer()
    balancer.file.write_bytes(balancer.document("s1", "s2", "s3"))
    balancer.begin()
    balancer.wait_accepted()
    write_atomic(balancer.file, balancer.document("s2", generation=2))
    digest = balancer.logged("endpoint_file_approval_required")["digest"]
    write_atomic(balancer.here / "servers.json.accept", json.dumps({"digest": digest}).encode())
    assert balancer.wait_accepted()["generation"] == 2
    assert balancer.served_by() == {"s2"}


def test_what_discovery_drains_gets_nothing_new_though_the_file_says_ready(
    make_balancer: MakeBalancer,
) -> None:
    balancer = make_balancer()
    balancer.file.write_bytes(balancer.document("s1", "s2", "s3"))
    balancer.begin()
    balancer.wait_accepted()
    staying_client = balancer.open_client(group="stays")
    assert staying_client.line() == "UP r"

    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    watch.chunk(2, balancer.discovered("s1", phase="draining"), balancer.discovered("s2", phase="gone"))
    balancer.wait_served_by({"s3"})
    write_atomic(balancer.file, balancer.document("s1", "s2", "s3", generation=2, weight=3.0))
    balancer.wait_accepted()
    assert balancer.served_by() == {"s3"}
    staying_client.send("still")
    assert staying_client.line() == "still"


def test_sighup_and_change_of_the_file_in_the_same_moment(make_balancer: MakeBalancer) -> None:
    balancer = make_balancer()
    balancer.file.write_bytes(balancer.document("s1", "s2"))
    balancer.begin()
    balancer.wait_accepted()
    for generation in range(2, 12):
        names = ("s1", "s3") if generation % 2 else ("s2", "s3")
        balancer.write_operator(recheck_s=0.3 + generation / 100)
        write_atomic(balancer.file, balancer.document(*names, generation=generation))
        balancer.process.send_signal(signal.SIGHUP)
        balancer.wait_generation(generation)
        assert balancer.served_by(20) == set(names)
    balancer.operator.write_text('{"servers": {"mode": "overide"}}')
    balancer.process.send_signal(signal.SIGHUP)
    assert "did you mean" in balancer.logged("operator_file_reload_rejected")["reasons"][0]
    assert balancer.served_by(20) == {"s1", "s3"}
    balancer.operator.write_text("{}")  # switched off: discovery's list alone
    balancer.process.send_signal(signal.SIGHUP)
    balancer.logged("operator_file_reloaded")
    assert balancer.served_by(20) == {"s1", "s2"}


def test_discovery_is_lost_and_back_and_lost_again_while_the_file_changes(
    make_balancer: MakeBalancer,
) -> None:
    balancer = make_balancer(mode="fallback", after_s=1.0, hold_down_s=0.0, most_removed=1.0)
    balancer.file.write_bytes(balancer.document("s3"))
    balancer.begin()
    assert balancer.served_by() == {"s1", "s2"}  # discovery has a second to report
    while balancer.wait_source() != "file":
        pass
    assert balancer.served_by() == {"s3"}
    for generation, name in ((2, "s2"), (3, "s3")):
        watch, _ = balancer.discovery.watch()
        watch.begin_watch()
        members = [balancer.discovered("s1"), balancer.discovered("s2")]
        watch.chunk(10 * generation, *members, complete=True)
        assert balancer.wait_source() == "discovery"
        assert balancer.served_by(20) == {"s1", "s2"}
        write_atomic(balancer.file, balancer.document(name, generation=generation))
        balancer.wait_accepted()
        watch.close()
        assert balancer.wait_source() == "file"
        assert balancer.served_by() == {name}


def move_a_day_ahead(stored_copy: Path) -> None:
    """Change the stored copy as if the clock had gone back by a day since it was written."""
    value = json.loads(stored_copy.read_text())
    value["taken_at_ms"] = int((time.time() + 86400) * 1000)
    del value["seal"]
    value["seal"] = digest_of(value)
    stored_copy.write_text(json.dumps(value))


def test_restart_onto_a_broken_file_serves_from_the_stored_copy(make_balancer: MakeBalancer) -> None:
    balancer = make_balancer(known=(), state_dir="state")
    balancer.file.write_bytes(balancer.document("s1", "s3"))
    balancer.begin()
    balancer.wait_accepted()
    stored_copy = balancer.state_folder / "servers-last-good.json"
    deadline_s = time.monotonic() + TIMEOUT_S
    while not stored_copy.exists():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)
    balancer.stop()

    balancer.file.write_bytes(b'{"servers": [{"id"')
    move_a_day_ahead(stored_copy)  # the age makes no sense then, the servers do
    balancer.begin()
    entry = balancer.wait_accepted()
    assert (entry["origin"], entry["clock_went_back"]) == ("last_known_good", True)
    balancer.logged("endpoint_file_rejected")
    assert balancer.served_by() == {"s1", "s3"}
    balancer.stop()

    stored_copy.write_bytes(stored_copy.read_bytes()[:-20])  # broken itself: rejected, and reported
    balancer.file.write_bytes(balancer.document("s2"))
    balancer.begin()
    balancer.logged("last_known_good_rejected")
    assert balancer.wait_accepted()["origin"] == "file"
    assert balancer.served_by() == {"s2"}


def test_full_disk_costs_the_stored_copy_and_nothing_else(make_balancer: MakeBalancer) -> None:
    balancer = make_balancer(known=(), state_dir="state")
    balancer.file.write_bytes(balancer.document("s1", "s2"))
    balancer.file_size = 100
    balancer.begin()
    assert balancer.logged("last_known_good_write_failed")["reason"] == "File too large"
    assert os.listdir(balancer.state_folder) == []
    assert balancer.served_by() == {"s1", "s2"}
