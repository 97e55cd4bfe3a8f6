"""Operator command line: publishes configuration changes and prints the status."""
