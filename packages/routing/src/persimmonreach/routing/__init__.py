"""Routing table of an entry instance."""
