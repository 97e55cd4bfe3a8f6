"""Declarations, publishing, store client and configuration in force."""

from persimmonreach.configuration._model import (
    Configuration,
    ConfigurationChanged,
    EntriesChanged,
    EntryInstance,
    ServiceConfig,
)

__all__ = (
    'Configuration',
    'ConfigurationChanged',
    'EntriesChanged',
    'EntryInstance',
    'ServiceConfig',
)
