"""Configuration: the platform's file and settings, and the operator's file; each fault has its place."""
