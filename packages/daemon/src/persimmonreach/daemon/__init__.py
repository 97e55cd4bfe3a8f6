"""Daemon persimmonreachd, which runs an entry instance or an agent."""
