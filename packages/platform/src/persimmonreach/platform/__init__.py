"""Adapter to the platform: names, formats and calls; it decides nothing."""
