"""Simulation of a deployment, fault matrix and benchmarks."""
