"""Tests for the running program with an endpoint file: the files it applies, and its service to clients."""

import json
import os
import random
import signal
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from support.peer import TIMEOUT_S
from support.served_balancer import ServedBalancer
from support.served_balancer_factory import MakeBalancer

from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.canonical_json import digest_of

REWRITES = 5000
LAST_GENERATION = 9999
SECONDS_PER_DAY = 86400


def serving_balancer(make_balancer: MakeBalancer, *names: str, **section: Any) -> ServedBalancer:
    """Start a balancer with an endpoint file that lists these servers, and wait until the file is accepted.

    The balancer ends with the test. The arguments `section` are passed to `make_balancer`.
    """
    balancer = make_balancer(**section)
    balancer.endpoint_file.write_bytes(balancer.document(*names))
    balancer.start_with_known_servers()
    balancer.wait_until_accepted()
    return balancer


def rewrite_in_place(path: Path, documents: list[bytes], times: int) -> None:
    """Overwrite the file with one document after another, in pieces of random size with some short pauses.

    In half of the cases, the file is not truncated: the end of a longer previous document stays in it.
    """
    generator = random.Random(7)
    with open(path, "r+b", buffering=0) as file:
        for number in range(times):
            data = documents[number % len(documents)]
            written = 0
            file.seek(0)
            while written < len(data):
                size = generator.randint(1, len(data) // 2)
                file.write(data[written : written + size])
                written += size
                if generator.random() < 0.02:
                    time.sleep(0.002)
            if generator.random() < 0.5:
                file.truncate(len(data))


def answers_while_rewriting(balancer: ServedBalancer, documents: list[bytes]) -> set[str]:
    """Return the answers to new clients while a thread rewrites the file in place. Wait for the thread."""
    writer = threading.Thread(target=rewrite_in_place, args=(balancer.endpoint_file, documents, REWRITES))
    writer.start()
    answers = set()
    while writer.is_alive():
        answers.add(balancer.reply_to_new_client())
    writer.join()
    return answers


def digest_of_file(data: bytes) -> str:
    """Return the digest of a document without its seal."""
    value = json.loads(data)
    value.pop("seal", None)
    return digest_of(value)


def similar_documents(balancer: ServedBalancer, seal: bool) -> list[bytes]:
    """Return documents of nearly the same length. A mixture of two of them may be a valid document too."""
    server_sets = [("s1", "s2"), ("s2", "s1"), ("s1", "s3"), ("s3", "s2"), ("s1", "s2", "s3")]
    return [
        balancer.document(*names, generation=1000 + number, seal=seal, weight=1.0 + number % 7)
        for number, names in enumerate(server_sets * 40)
    ]


@pytest.mark.parametrize(
    ("seal", "settle_s"),
    [
        pytest.param(True, 0.05, id="sealed"),
        # The time exceeds any pause of the writer. Otherwise, a mixture of documents could be accepted.
        pytest.param(False, 1.0, id="unsealed"),
    ],
)
def test_only_complete_files_are_applied_while_the_file_is_rewritten_in_place(
    make_balancer: MakeBalancer, seal: bool, settle_s: float
) -> None:
    balancer = make_balancer(most_removed=1.0)
    balancer.write_operator(settle_s=settle_s)
    documents = similar_documents(balancer, seal)
    balancer.endpoint_file.write_bytes(balancer.document("s1", "s2", seal=seal))
    balancer.start_with_known_servers()
    accepted = [balancer.wait_until_accepted()]

    assert answers_while_rewriting(balancer, documents) == {"UP"}

    last = balancer.document("s3", generation=LAST_GENERATION, seal=seal)
    write_atomic(balancer.endpoint_file, last)
    while accepted[-1]["generation"] != LAST_GENERATION:
        accepted.append(balancer.wait_until_accepted())
    assert balancer.served_by() == {"s3"}
    complete_digests = {digest_of_file(data) for data in [*documents, last]}
    assert {entry["digest"] for entry in accepted[1:]} <= complete_digests
    generations = [entry["generation"] for entry in accepted]
    assert generations == sorted(set(generations))


def test_unusable_file_is_reported_and_the_previous_file_stays_active(make_balancer: MakeBalancer) -> None:
    balancer = serving_balancer(make_balancer, "s1", "s2", "s3")
    removing_two = balancer.document("s1", generation=2)
    at_other_site = balancer.document("s1", "s2", "s3", generation=2, site="there")
    cases = [
        (removing_two[:40], "endpoint_file_rejected", "not valid JSON"),
        (at_other_site, "endpoint_file_rejected", 'site "here"'),
        (removing_two, "endpoint_file_approval_required", "2 of 3 ready"),
    ]
    for data, event, reason in cases:
        write_atomic(balancer.endpoint_file, data)
        assert reason in " ".join(balancer.wait_for_event(event)["reasons"])
        assert balancer.served_by(30) == {"s1", "s2", "s3"}

    balancer.endpoint_file.unlink()
    balancer.wait_for_event("endpoint_file_unreadable")
    os.mkfifo(balancer.endpoint_file)
    assert "a FIFO" in balancer.wait_for_event("endpoint_file_unreadable")["reasons"][0]
    assert balancer.served_by(30) == {"s1", "s2", "s3"}


def test_change_that_awaits_approval_is_applied_once_its_digest_is_accepted(
    make_balancer: MakeBalancer,
) -> None:
    balancer = serving_balancer(make_balancer, "s1", "s2", "s3")

    write_atomic(balancer.endpoint_file, balancer.document("s2", generation=2))
    digest = balancer.wait_for_event("endpoint_file_approval_required")["digest"]
    write_atomic(balancer.approval_file, json.dumps({"digest": digest}).encode())

    assert balancer.wait_until_accepted()["generation"] == 2
    assert balancer.served_by() == {"s2"}


def test_server_drained_by_discovery_gets_no_new_sessions_though_ready_in_the_file(
    make_balancer: MakeBalancer,
) -> None:
    balancer = serving_balancer(make_balancer, "s1", "s2", "s3")
    staying_client = balancer.open_client(group="stays")
    assert staying_client.line() == "UP r"

    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    watch.send_endpoint_list(
        2, balancer.discovered("s1", phase="draining"), balancer.discovered("s2", phase="gone")
    )
    balancer.wait_until_served_by({"s3"})

    write_atomic(balancer.endpoint_file, balancer.document("s1", "s2", "s3", generation=2, weight=3.0))
    balancer.wait_until_accepted()
    assert balancer.served_by() == {"s3"}
    staying_client.send("echo")
    assert staying_client.line() == "echo"


def test_reload_and_change_of_the_file_at_the_same_time_are_both_applied(
    make_balancer: MakeBalancer,
) -> None:
    balancer = serving_balancer(make_balancer, "s1", "s2")

    for generation in range(2, 12):
        names = ("s1", "s3") if generation % 2 else ("s2", "s3")
        balancer.write_operator(recheck_s=0.3 + generation / 100)
        write_atomic(balancer.endpoint_file, balancer.document(*names, generation=generation))
        balancer.process.send_signal(signal.SIGHUP)
        balancer.wait_for_generation(generation)
        assert balancer.served_by(20) == set(names)


def test_invalid_section_is_not_applied_and_a_removed_one_makes_discovery_the_only_source(
    make_balancer: MakeBalancer,
) -> None:
    balancer = serving_balancer(make_balancer, "s1", "s3")

    balancer.operator_file.write_text('{"servers": {"mode": "overide"}}')
    balancer.process.send_signal(signal.SIGHUP)
    assert "did you mean" in balancer.wait_for_event("operator_file_reload_rejected")["reasons"][0]
    assert balancer.served_by(20) == {"s1", "s3"}

    balancer.operator_file.write_text("{}")
    balancer.process.send_signal(signal.SIGHUP)
    balancer.wait_for_event("operator_file_reloaded")
    assert balancer.served_by(20) == {"s1", "s2"}


def test_active_source_changes_each_time_discovery_is_lost_or_recovers(
    make_balancer: MakeBalancer,
) -> None:
    balancer = make_balancer(mode="fallback", after_s=1.0, hold_down_s=0.0, most_removed=1.0)
    balancer.endpoint_file.write_bytes(balancer.document("s3"))
    balancer.start_with_known_servers()
    assert balancer.served_by() == {"s1", "s2"}  # discovery is not lost before after_s
    while balancer.wait_for_source() != "file":
        pass
    assert balancer.served_by() == {"s3"}

    for generation, name in ((2, "s2"), (3, "s3")):
        watch, _ = balancer.discovery.watch()
        watch.begin_watch()
        members = [balancer.discovered("s1"), balancer.discovered("s2")]
        watch.send_endpoint_list(10 * generation, *members, complete=True)
        assert balancer.wait_for_source() == "discovery"
        assert balancer.served_by(20) == {"s1", "s2"}

        write_atomic(balancer.endpoint_file, balancer.document(name, generation=generation))
        balancer.wait_until_accepted()
        watch.close()
        assert balancer.wait_for_source() == "file"
        assert balancer.served_by() == {name}


def wait_until_exists(path: Path) -> None:
    """Wait up to TIMEOUT_S until the path exists."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not path.exists():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def move_timestamp_a_day_ahead(stored_copy: Path) -> None:
    """Change the stored copy as if the clock had been set back by a day since it was written."""
    value = json.loads(stored_copy.read_text())
    value["taken_at_ms"] = int((time.time() + SECONDS_PER_DAY) * 1000)
    del value["seal"]
    value["seal"] = digest_of(value)
    stored_copy.write_text(json.dumps(value))


def test_restart_with_an_invalid_file_uses_the_stored_copy_unless_that_is_invalid_too(
    make_balancer: MakeBalancer,
) -> None:
    balancer = serving_balancer(make_balancer, "s1", "s3", known=(), state_dir="state")
    stored_copy = balancer.state_directory / "servers-last-good.json"
    wait_until_exists(stored_copy)
    balancer.stop()

    balancer.endpoint_file.write_bytes(b'{"servers": [{"id"')
    move_timestamp_a_day_ahead(stored_copy)
    balancer.start_with_known_servers()
    entry = balancer.wait_until_accepted()
    assert (entry["origin"], entry["clock_went_back"]) == ("last_known_good", True)
    balancer.wait_for_event("endpoint_file_rejected")
    assert balancer.served_by() == {"s1", "s3"}
    balancer.stop()

    stored_copy.write_bytes(stored_copy.read_bytes()[:-20])
    balancer.endpoint_file.write_bytes(balancer.document("s2"))
    balancer.start_with_known_servers()
    balancer.wait_for_event("last_known_good_rejected")
    assert balancer.wait_until_accepted()["origin"] == "file"
    assert balancer.served_by() == {"s2"}


def test_full_disk_fails_only_the_write_of_the_stored_copy(make_balancer: MakeBalancer) -> None:
    balancer = make_balancer(known=(), state_dir="state")
    balancer.endpoint_file.write_bytes(balancer.document("s1", "s2"))
    balancer.max_file_bytes = 100

    balancer.start_with_known_servers()

    assert balancer.wait_for_event("last_known_good_write_failed")["reason"] == "File too large"
    assert os.listdir(balancer.state_directory) == []
    assert balancer.served_by() == {"s1", "s2"}
