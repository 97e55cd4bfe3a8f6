"""Entry point of ``persimmonreach``."""

import sys
from typing import Final

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.io import IO
from cleo.io.outputs.output import Type as OutputType

from persimmonreach.cli._commands import AuditCommand, CheckCommand, PublishCommand
from persimmonreach.cli._dependencies import Dependencies
from persimmonreach.cli._exit import ExitCode
from persimmonreach.cli._status import FlowExplainCommand, StatusCommand
from persimmonreach.cli._zones import ZoneInCommand, ZoneOutCommand

_VERSION: Final = '0.1.0'
_COMMANDS: Final = (
    PublishCommand,
    ZoneOutCommand,
    ZoneInCommand,
    StatusCommand,
    FlowExplainCommand,
    AuditCommand,
)


class OperatorApplication(Application):
    """Application that exits with ``ExitCode.FINDINGS`` on a usage error."""

    def _run(self, io: IO) -> int:
        try:
            return super()._run(io)
        except CleoError as error:
            io.write_error_line(str(error), type=OutputType.RAW)
            return ExitCode.FINDINGS


def make_application(dependencies: Dependencies | None = None) -> Application:
    """Return the application with all commands registered.

    Parameters
    ----------
    dependencies
        Clients of the store and of entry instances, and the clock; by default
        those of a deployed system.

    """
    application = OperatorApplication('persimmonreach', _VERSION)
    application.add(CheckCommand())
    for command_type in _COMMANDS:
        application.add(command_type(dependencies or Dependencies()))
    return application


def main() -> None:
    """Run the command and exit with its exit code."""
    sys.exit(make_application().run())
