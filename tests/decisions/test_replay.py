"""Test that a change of the module's names or structure does not change its decisions."""

from support.decision_replay import digest, replay

# Change them only in a commit that changes a decision, and state that in its message.
EXPECTED_DIGEST = "326478ce7541f55af1594909ed7caa6b7aac0674b226cfe72c227cc1e9b58390"
EXPECTED_LINES = 122_579


def test_seeded_events_are_answered_with_the_same_actions_in_the_same_order() -> None:
    lines = replay()
    assert (len(lines), digest(lines)) == (EXPECTED_LINES, EXPECTED_DIGEST)
