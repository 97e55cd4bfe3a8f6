"""Fault matrix and benchmarks."""
