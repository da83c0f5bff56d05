"""Decisions of a balancer for long-lived connections."""

from wheatstile.decisions import Balancer

__all__ = ["Balancer"]
__version__ = "0.2.0"
