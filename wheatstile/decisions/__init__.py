"""The decisions of a balancer: which server, when to retry, when to reject. No input or output, no clock.

`Balancer` takes events and returns actions (`wheatstile.interface`). The modules beside it that `policy` in
deploy/balancer.toml names make the decisions. `balancer` passes events on to them, and `state`,
`lookup_table` and `token_bucket` decide nothing.
"""

from wheatstile.decisions.balancer import Balancer

__all__ = ["Balancer"]
