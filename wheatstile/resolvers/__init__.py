"""Reads and watches endpoint files, and merges them with the endpoint list from discovery.

The package is imported only if the operator's file configures an endpoint file.
"""
