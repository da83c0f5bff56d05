"""Endpoint files: read, compared with the active endpoints, and merged with discovery.

The package is imported only if the operator's file names an endpoint file.
"""
