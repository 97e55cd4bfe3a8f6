"""Base class of the commands that use the store."""

import getpass
import os
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from random import SystemRandom
from typing import Any, ClassVar, Final, TypeAlias

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from persimmonreach.cli._exit import (
    CANCELLED,
    UNCHANGED,
    ExitCode,
    Report,
    report_findings,
    report_outcome,
    report_store_error,
)
from persimmonreach.configuration import (
    Accepted,
    Plan,
    Publisher,
    PublisherSettings,
    Store,
    StoreError,
    Timing,
)
from persimmonreach.configuration.adapters import HttpStore
from persimmonreach.core import (
    Endpoint,
    Finding,
    FindingsError,
    MonotonicClock,
    raise_findings,
)

STORE_VARIABLE: Final = 'PERSIMMONREACH_STORE'
_DEFAULT_TIMEOUT_S: Final = 30
_MS_PER_S: Final = 1000
_COMMAND_LINE: Final = 'command line'

OUTPUT_OPTION: Final = option('output', None, 'text or json', flag=False, default='text')
STORE_OPTIONS: Final = (
    option('store', None, f'HOST:PORT of the store, or {STORE_VARIABLE}', flag=False),
    option('operator', None, 'Name for the audit trail', flag=False),
    option(
        'timeout',
        None,
        'Seconds to settle a lost answer',
        flag=False,
        default=str(_DEFAULT_TIMEOUT_S),
    ),
    OUTPUT_OPTION,
)
YES_OPTION: Final = option('yes', 'y', 'Do not ask')

# Waits until a version is in force everywhere; returns lines for people.
Await: TypeAlias = Callable[[int, float], tuple[str, ...]]


class ReportingCommand(Command, ABC):
    """Command that ends with a report and its exit code."""

    options: ClassVar[list[Option]] = [OUTPUT_OPTION]

    def handle(self) -> int:
        """Run the command and show its report."""
        try:
            report = self._checked_run()
        except FindingsError as error:
            report = report_findings(error)
        except StoreError as error:
            report = report_store_error(error)
        self._show(report)
        return report.code

    @property
    def _is_json(self) -> bool:
        return self.option('output') == 'json'

    def _checked_run(self) -> Report:
        output = self.option('output')
        if output not in {'text', 'json'}:
            _raise_option('--output', f'"{output}" is not known', 'text or json')
        return self._run()

    @abstractmethod
    def _run(self) -> Report:
        """Return the result."""

    def _show(self, report: Report) -> None:
        if self._is_json:
            self.io.write_line(report.as_json())
            return
        is_error = report.code is not ExitCode.DONE
        write = self.io.write_error_line if is_error else self.io.write_line
        for line in report.lines:
            write(line)


class StoreCommand(ReportingCommand):
    """Command that uses the store.

    Parameters
    ----------
    store_factory
        Returns a client of the store.
    await_version
        Waits until an accepted version is in force everywhere.

    """

    options: ClassVar[list[Option]] = list(STORE_OPTIONS)

    def __init__(
        self,
        store_factory: Callable[[Endpoint], Store] = HttpStore,
        await_version: Await | None = None,
    ) -> None:
        super().__init__()
        self._store_factory = store_factory
        self._await_version = await_version

    def _store(self) -> Store:
        address = self.option('store') or os.environ.get(STORE_VARIABLE, '')
        host, _, port = address.rpartition(':')
        if not host or not port.isdigit():
            _raise_option('--store', f'"{address}" is not HOST:PORT', '127.0.0.1:2379')
        return self._store_factory(Endpoint(host, int(port)))

    def _publisher(self, store: Store) -> Publisher:
        operator = self.option('operator') or getpass.getuser()
        timing = Timing(MonotonicClock(), _wall_ms, time.sleep)
        settings = PublisherSettings(operator, self._timeout_s())
        return Publisher(settings, store, timing, SystemRandom())

    def _timeout_s(self) -> float:
        text: Any = self.option('timeout')
        try:
            return float(text)
        except ValueError:
            _raise_option('--timeout', f'"{text}" is not a number', 'seconds, such as 30')
            raise

    def _submit(self, publisher: Publisher, plan: Plan, ask: bool) -> Report:
        """Show the difference, ask, and write the change."""
        if not plan.difference:
            return UNCHANGED
        if not self._is_json:
            for line in plan.difference:
                self.line(line)
        if ask and self._is_json:
            _raise_option('--output', 'json cannot ask for consent', '--yes as well')
        if ask and not self.confirm('Publish this change?', False):
            return CANCELLED
        outcome = publisher.publish(plan)
        report = report_outcome(outcome)
        details = {**report.details, 'difference': plan.difference}
        lines = report.lines
        if self._await_version and isinstance(outcome, Accepted):
            lines += self._await_version(outcome.version, self._timeout_s())
        return report._replace(lines=lines, details=details)


def _wall_ms() -> int:
    return int(time.time() * _MS_PER_S)


def _raise_option(name: str, problem: str, remedy: str) -> None:
    raise_findings(
        'invalid command',
        [Finding(_COMMAND_LINE, name, problem, f'write {remedy}')],
    )
