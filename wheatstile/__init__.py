"""A load balancer for long-lived connections. This package exports its decision module, `Balancer`."""

from wheatstile.decisions import Balancer

__all__ = ["Balancer"]
__version__ = "0.2.0"
