"""Servers named in a watched file: read whole or not at all, held against the list in force, and merged
with what discovery tells. Off unless the operator's file names one; nothing of it is imported then.
"""
