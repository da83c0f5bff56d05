"""Helpers for several test files."""
