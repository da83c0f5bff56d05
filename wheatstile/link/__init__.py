"""The fault link: a relay of our own between the fleet's processes that cuts, delays and resets links.

`rules` decides (pure): what holds for the bytes from one process to another; `relay` carries it
out on sockets.
Tests and operators drive it by lines on its standard input. Not imported by `run`.
"""
