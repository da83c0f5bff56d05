"""Servers named in a watched endpoint file: read, compared with the active endpoints, merged with discovery.

Off unless the operator's file names an endpoint file; nothing of it is imported then.
"""
