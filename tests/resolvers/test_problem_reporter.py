"""Tests that each problem is counted, and that a persistent problem is logged once a minute."""

from collections import Counter

from structlog.testing import capture_logs

from wheatstile.resolvers.problem_reporter import MAX_LOGGED_REASONS, REPEAT_INTERVAL_S, ProblemReporter


def test_same_problem_is_counted_each_time_and_logged_once_a_minute() -> None:
    counters: Counter[str] = Counter()
    now_s = 100.0
    reporter = ProblemReporter(counters, lambda: now_s)

    with capture_logs() as logged:
        reporter.report_rejected(["reason"])
        reporter.report_rejected(["reason"])
        assert len(logged) == 1
        now_s += REPEAT_INTERVAL_S + 1
        reporter.report_rejected(["reason"])
        assert len(logged) == 2
        reporter.report_unreadable(["reason"])
        reporter.reset()
        reporter.report_unreadable(["reason"])

    rejected_events = ["endpoint_file_rejected"] * 2
    unreadable_events = ["endpoint_file_unreadable"] * 2
    assert [entry["event"] for entry in logged] == rejected_events + unreadable_events
    assert counters == {"endpoint_file_rejected": 3, "endpoint_file_unreadable": 2}


def test_long_list_of_reasons_is_truncated_and_counted() -> None:
    reporter = ProblemReporter(Counter(), lambda: 0.0)

    with capture_logs() as logged:
        reporter.report_approval_required([f"reason {number}" for number in range(50)], "xxh3-128:1")

    assert len(logged[0]["reasons"]) == MAX_LOGGED_REASONS
    assert logged[0]["violations"] == 50
    assert logged[0]["digest"] == "xxh3-128:1"
