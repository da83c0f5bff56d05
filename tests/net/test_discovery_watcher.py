"""Tests of the watch on discovery: messages, timeouts and failures."""

import json
import re
import select
import time
from contextlib import suppress
from typing import Any

import pytest
from support.balancer import SLOW_CONNECT, Balancer
from support.peer import Peer

PUSHED = SLOW_CONNECT | {"discovery": "pushed"}


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


@pytest.mark.parametrize("settings", [{}])
def test_changes_are_applied_and_a_failed_watch_is_reopened(balancer: Balancer) -> None:
    balancer.start([balancer.member("s1", host_port="127.0.0.1:1")])
    watch, request = balancer.discovery.watch()
    assert request == "GET /discovery/hosts?watch=1&after=1 HTTP/1.1"
    watch.send("HTTP/1.1 503 Busy", "Content-Length: 0", "")
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    watch.send_endpoint_list(2, balancer.member("s1"))  # now has the address of the test server
    watch.send_endpoint_list(3, balancer.member("s2", host_port="127.0.0.1:1", phase="draining"))
    watch.send("1", "\n")
    watch.send_endpoint_list(4, balancer.member("s3", phase="odd"))
    for number in range(1, 5):
        balancer.establish(number)
    watch.send("2", "{\n")
    _watch, request = balancer.discovery.watch()
    assert "after=4 " in request
    balancer.establish(9)


@pytest.mark.parametrize("settings", [{}])
def test_failing_discovery_is_logged_once_until_it_answers(balancer: Balancer) -> None:
    balancer.start()
    for _ in range(2):
        watch, _request = balancer.discovery.watch()
        watch.send("HTTP/1.1 503 Busy", "Content-Length: 0", "")
    watch, _request = balancer.discovery.watch()
    watch.begin_watch()
    watch.send_endpoint_list(2, balancer.member("s2"))
    watch.close()
    balancer.discovery.watch()  # opened after the balancer has handled the third failure
    assert balancer.stop().count("endpoint_watch_ended") == 2


def send_indented(watch: Peer, revision: int, *members: dict[str, Any]) -> None:
    """Send one list that spans several lines, each in its own chunk, with an empty line at the end."""
    document = {"revision": revision, "complete": False, "members": members, "note": 'a "}" in { text'}
    for line in [*json.dumps(document, indent=2).splitlines(), ""]:
        watch.send(f"{len(line) + 1:x}", line + "\n")


def test_list_may_extend_over_several_lines(balancer: Balancer) -> None:
    balancer.start([balancer.member(host_port="127.0.0.1:1")])
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    send_indented(watch, 2, balancer.member(host_port="127.0.0.1:2"))
    watch.send("1", "\n")
    send_indented(watch, 3, balancer.member())
    balancer.wait_for_counter("events_endpoint_update", 3)
    balancer.establish()


def test_change_of_an_older_revision_is_ignored(balancer: Balancer) -> None:
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    watch.send_endpoint_list(5, balancer.member(phase="draining"))
    watch.send_endpoint_list(4, balancer.member(phase="ready"))
    watch.send_endpoint_list(6, balancer.member("s2", phase="draining"))
    balancer.wait_for_counter("events_endpoint_update", 3)
    client = balancer.send_open(timeout_ms=300)
    assert re.search("^BUSY", client.line())
    assert select.select([balancer.server.sock], [], [], 0)[0] == []


def test_list_without_an_end_does_not_keep_its_watch_open(balancer: Balancer) -> None:
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    for _ in range(20):  # sends one byte every half second for 10 s
        with suppress(OSError):  # the balancer may have closed the watch
            watch.send("1", "{")
        if select.select([balancer.discovery.sock], [], [], 0.5)[0]:
            return
    pytest.fail("the watch was not reopened within 10 s")


def test_idle_watch_is_reopened_in_time(balancer: Balancer) -> None:
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    watch.send_endpoint_list(2, balancer.member("s2"))
    last_message_s = time.monotonic()
    balancer.discovery.watch()
    # Discovery counts a change as delivered after 6 s. IDLE_TIMEOUT_S plus the backoff is at most 4.5 s.
    assert time.monotonic() - last_message_s < 5.2


def test_watch_without_a_change_resets_the_backoff(balancer: Balancer) -> None:
    balancer.start()
    for _ in range(3):
        balancer.discovery.watch()[0].close()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    watch.send("1", "\n")
    balancer.wait_for_counter("events_endpoint_update", 5)
    watch.close()
    closed_s = time.monotonic()
    balancer.discovery.watch()
    # The first backoff is at most 1.5 s; after a fourth consecutive failure it would be 4 to 12 s.
    assert time.monotonic() - closed_s < 3.0


@pytest.mark.parametrize("settings", [PUSHED])
def test_watch_is_opened_at_the_start_where_lists_are_pushed(balancer: Balancer) -> None:
    balancer.start()
    watch, request = balancer.discovery.watch()
    assert "watch=1" in request
    watch.begin_watch()
    watch.send_endpoint_list(2, balancer.member(phase="draining"))
    watch.close()
    _, request = balancer.discovery.watch()
    assert "after=2 " in request
