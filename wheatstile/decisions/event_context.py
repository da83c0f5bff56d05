"""The context of an event, shared by the components of the decision module that handle it."""

from random import Random

from wheatstile import interface as api


class EventContext:
    """The time of the event, the settings, the random generator, and the actions to return for the event.

    Only `Balancer` calls `begin_event` and `configure`. All times are in microseconds.
    """

    __slots__ = ("actions", "health_checks_enabled", "now_us", "random", "settings")

    def __init__(self, settings: api.Settings, random: Random) -> None:
        self.random = random
        self.configure(settings)
        self.now_us = 0
        self.actions: list[api.Action] = []

    def configure(self, settings: api.Settings) -> None:
        """Apply these settings. Health checks are enabled only if a load report can contain a metric."""
        self.settings = settings
        self.health_checks_enabled = settings.health_checks_enabled and bool(settings.load_metrics)

    def begin_event(self, now_us: int) -> None:
        """Begin an event at this time, with no actions yet."""
        self.now_us = now_us
        self.actions = []

    def add_action(self, action: api.Action) -> None:
        """Add an action to the result of this event."""
        self.actions.append(action)

    def set_timer(self, delay_us: int, kind: api.TimerKind, connection_id: str = "", due_us: int = 0) -> None:
        """Add an action that sets a timer."""
        self.actions.append(api.SetTimer(delay_us, api.TimerToken(kind, connection_id, due_us)))

    def set_jittered_timer(self, max_delay_us: float, kind: api.TimerKind, connection_id: str = "") -> None:
        """Add an action that sets a timer, with a delay drawn uniformly from 1 to `max_delay_us`."""
        self.set_timer(1 + int(self.random.random() * max_delay_us), kind, connection_id)
