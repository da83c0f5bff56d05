"""The balancer of `support.balancer` for test classes of `unittest`."""

import unittest

from support.balancer import ROOT, SETTINGS, Balancer
from support.peer import TIMEOUT_S, Listener, Peer

__all__ = ["PATIENCE", "ROOT", "SETTINGS", "Listener", "NodeTest", "Peer"]

PATIENCE = TIMEOUT_S


class NodeTest(Balancer, unittest.TestCase):
    """Starts one balancer for a test, and ends it."""

    def __init__(self, method_name: str = "runTest") -> None:
        unittest.TestCase.__init__(self, method_name)

    def setUp(self) -> None:
        self.set_up()
        self.addCleanup(self.close)
