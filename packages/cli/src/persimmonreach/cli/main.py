"""Entry point of ``persimmonreach``."""

import sys
from collections.abc import Callable

from cleo.application import Application

from persimmonreach.cli._base import Await
from persimmonreach.cli._commands import (
    AuditCommand,
    CheckCommand,
    PublishCommand,
    ZoneInCommand,
    ZoneOutCommand,
)
from persimmonreach.configuration import Store
from persimmonreach.configuration.adapters import HttpStore
from persimmonreach.core import Endpoint

_VERSION = '0.1.0'


def make_application(
    store_factory: Callable[[Endpoint], Store] = HttpStore,
    await_version: Await | None = None,
) -> Application:
    """Return the application with all commands.

    Parameters
    ----------
    store_factory
        Returns a client of the store at an address.
    await_version
        Waits until a version is in force everywhere, for at most the given
        seconds, and returns lines to show; nothing to skip the wait.

    """
    application = Application('persimmonreach', _VERSION)
    application.add(CheckCommand())
    for command_type in (PublishCommand, ZoneOutCommand, ZoneInCommand, AuditCommand):
        application.add(command_type(store_factory, await_version))
    return application


def main() -> None:
    """Run the command line."""
    sys.exit(make_application().run())
