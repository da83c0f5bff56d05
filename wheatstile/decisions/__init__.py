"""The decision module of a balancer: it chooses servers, retries and rejections.

`Balancer` takes events and returns actions (`wheatstile.interface`). It does no input or output and reads no
clock. docs/architecture.md lists the modules.
"""

from wheatstile.decisions.balancer import Balancer

__all__ = ["Balancer"]
