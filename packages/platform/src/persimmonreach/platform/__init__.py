"""Adapter to the platform: settings, packet format, store client and HTTP calls.

It only translates between the formats of the platform and the types of this system;
all decisions are made in other packages.
"""
