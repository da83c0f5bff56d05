"""Configuration: the platform's file and settings, and the operator's file; violations have a location."""
