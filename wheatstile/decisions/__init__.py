"""The decisions of a balancer: which server, when to retry, when to reject. No input or output, no clock.

`Balancer` takes events and returns actions (`wheatstile.interface`). docs/architecture.md lists the modules.
"""

from wheatstile.decisions.balancer import Balancer

__all__ = ["Balancer"]
