"""Counters, health endpoints and structured logs."""
