"""Flows of one backend server and probing of silent flows."""
