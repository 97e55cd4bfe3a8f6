"""Waiting until the configuration of an agent's service is known."""

from typing import Any

from gevent.event import AsyncResult

from persimmonreach.configuration import Configuration, ServiceConfig
from persimmonreach.runtime import Task


class ServiceWaiter(Task):
    """Receives configurations until one declares the agent's service.

    Parameters
    ----------
    name
        Declared name of the service.

    """

    def __init__(self, name: str) -> None:
        super().__init__(tick_seconds=1)
        self._name = name
        self._found = AsyncResult()

    def wait(self) -> Configuration:
        """Wait for a configuration that declares the service."""
        return self._found.get()

    def receive(self, message: Any) -> None:
        """Look for the service in a ``ConfigurationChanged``."""
        if find_service(message.configuration, self._name):
            self._found.set(message.configuration)

    def tick(self) -> None:
        """Do nothing: the agent's configuration task asks again by itself."""


def find_service(configuration: Configuration, name: str) -> ServiceConfig | None:
    """Return the service with this declared name."""
    return next((row for row in configuration.services if row.name == name), None)
