"""Base classes of the commands and their common options."""

import getpass
import os
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable
from random import SystemRandom
from typing import Any, ClassVar, Final

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type as OutputType

from persimmonreach.cli._addresses import parse_endpoint, raise_option_error
from persimmonreach.cli._dependencies import Dependencies
from persimmonreach.cli._exit import (
    CANCELLED,
    UNCHANGED,
    ExitCode,
    Report,
    report_findings,
    report_outcome,
    report_store_error,
)
from persimmonreach.cli._waiting import (
    IN_FORCE,
    NOT_WAITED,
    VersionWaiter,
    format_wait_result,
)
from persimmonreach.configuration import (
    Accepted,
    Plan,
    Publisher,
    PublisherSettings,
    TimeSource,
)
from persimmonreach.core import Endpoint, FindingsError
from persimmonreach.store import Store, StoreError

STORE_VARIABLE: Final = 'PERSIMMONREACH_STORE'
CONTROL_VARIABLE: Final = 'PERSIMMONREACH_CONTROL'
_DEFAULT_TIMEOUT_S: Final = 30
_MS_PER_S: Final = 1000

OUTPUT_OPTION: Final = option(
    'output', None, 'Output format: text or json', flag=False, default='text'
)
CONTROL_OPTION: Final = option(
    'control',
    None,
    f'HOST:PORT of the control port of an entry instance, by default {CONTROL_VARIABLE}, '
    'which may list several, separated by commas',
    flag=False,
    multiple=True,
)
STORE_OPTIONS: Final = (
    option(
        'store',
        None,
        f'HOST:PORT of the store, by default {STORE_VARIABLE}',
        flag=False,
    ),
    option(
        'operator',
        None,
        'Name of the operator in the audit trail, by default the user name',
        flag=False,
    ),
    option(
        'timeout',
        None,
        'Maximum seconds to resolve an unknown write result, and to wait until a '
        'change is in force',
        flag=False,
        default=str(_DEFAULT_TIMEOUT_S),
    ),
    OUTPUT_OPTION,
)
YES_OPTION: Final = option('yes', 'y', 'Do not ask for confirmation')


class ReportingCommand(Command, ABC):
    """Command that prints a report and returns its exit code."""

    options: ClassVar[list[Option]] = [OUTPUT_OPTION]

    def handle(self) -> int:
        """Run the command, print its report and return the exit code."""
        try:
            report = self._check_output_and_run()
        except FindingsError as error:
            report = report_findings(error)
        except StoreError as error:
            report = report_store_error(error)
        self._print_report(report)
        return report.code

    @property
    def _is_json(self) -> bool:
        return self.option('output') == 'json'

    def _check_output_and_run(self) -> Report:
        output = self.option('output')
        if output not in {'text', 'json'}:
            raise_option_error(
                '--output', f'unknown output format "{output}"', 'text or json'
            )
        return self._run()

    @abstractmethod
    def _run(self) -> Report:
        """Run the command and return its report."""

    def _print_report(self, report: Report) -> None:
        if self._is_json:
            self._print_lines((report.to_json(),))
            return
        if report.code is ExitCode.DONE:
            self._print_lines(report.lines)
            return
        for line in report.lines:
            self.io.write_error_line(line, type=OutputType.RAW)

    def _print_lines(self, lines: Iterable[str]) -> None:
        """Print lines verbatim, since names and addresses may look like markup."""
        for line in lines:
            self.io.write_line(line, type=OutputType.RAW)


class EntryCommand(ReportingCommand):
    """Command that calls entry instances.

    Parameters
    ----------
    dependencies
        Clients of the store and of entry instances, and the clock.

    """

    options: ClassVar[list[Option]] = [CONTROL_OPTION, OUTPUT_OPTION]

    def __init__(self, dependencies: Dependencies) -> None:
        super().__init__()
        self._dependencies = dependencies

    def _control_endpoints(self) -> tuple[Endpoint, ...]:
        environment_texts = os.environ.get(CONTROL_VARIABLE, '').split(',')
        texts: Iterable[str] = self.option('control') or filter(None, environment_texts)
        endpoints = [parse_endpoint('--control', text.strip()) for text in texts]
        return tuple(dict.fromkeys(endpoints))


class StoreCommand(EntryCommand):
    """Command that reads or writes the store."""

    options: ClassVar[list[Option]] = [CONTROL_OPTION, *STORE_OPTIONS]

    def _make_store(self) -> Store:
        address = self.option('store') or os.environ.get(STORE_VARIABLE, '')
        return self._dependencies.store_factory(parse_endpoint('--store', address))

    def _make_publisher(self, store: Store) -> Publisher:
        operator = self.option('operator') or getpass.getuser()
        time_source = TimeSource(
            self._dependencies.clock, wall_clock_ms, self._dependencies.sleep
        )
        settings = PublisherSettings(operator, self._timeout_s())
        return Publisher(settings, store, time_source, SystemRandom())

    def _timeout_s(self) -> float:
        text: Any = self.option('timeout')
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = -1
        if not 0 <= timeout_s < float('inf'):
            raise_option_error(
                '--timeout',
                f'expected a number of seconds of at least 0, found "{text}"',
                'a number such as 30',
            )
        return timeout_s

    def _submit(
        self, publisher: Publisher, plan: Plan, needs_confirmation: bool
    ) -> Report:
        """Print the difference, ask for confirmation, publish and await the version."""
        if not plan.difference:
            return UNCHANGED
        if not self._is_json:
            self._print_lines(plan.difference)
        if needs_confirmation and not self._is_confirmed('Publish this change?'):
            return CANCELLED
        control_endpoints = self._control_endpoints()
        outcome = publisher.publish(plan)
        report = report_outcome(outcome)
        details = {**report.details, 'difference': plan.difference}
        report = report._replace(details=details)
        if isinstance(outcome, Accepted):
            return self._await_version(report, outcome.version, control_endpoints)
        return report

    def _is_confirmed(self, question: str) -> bool:
        if self._is_json:
            raise_option_error(
                '--output',
                'cannot ask for confirmation with json output',
                '--yes as well',
            )
        if not self.io.is_interactive():
            raise_option_error('--yes', 'no terminal to ask for confirmation', '--yes')
        try:
            return self.confirm(question, False)
        except (EOFError, RuntimeError):
            # Cleo raises RuntimeError at the end of the input, which does not count
            # as a confirmation.
            return False

    def _await_version(
        self,
        report: Report,
        version: int,
        control_endpoints: tuple[Endpoint, ...],
    ) -> Report:
        await_version = (
            self._dependencies.await_version or VersionWaiter(self._dependencies).wait
        )
        wait_result = await_version(version, control_endpoints, self._timeout_s())
        is_successful = wait_result.result in {IN_FORCE, NOT_WAITED}
        return report._replace(
            code=report.code if is_successful else ExitCode.NOT_CONFIRMED,
            lines=(*report.lines, *format_wait_result(wait_result)),
            details={**report.details, 'waiting': wait_result._asdict()},
        )


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return int(time.time() * _MS_PER_S)
