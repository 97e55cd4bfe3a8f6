"""Commands that check and publish declarations and print the audit trail."""

from datetime import UTC, datetime
from typing import ClassVar, Final

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonreach.cli._base import (
    CONTROL_OPTION,
    STORE_OPTIONS,
    YES_OPTION,
    ReportingCommand,
    StoreCommand,
)
from persimmonreach.cli._exit import ExitCode, Report
from persimmonreach.configuration import AuditRecord, read_audit_trail, read_head
from persimmonreach.configuration.adapters import load_declarations

_DIRECTORIES: Final = argument(
    'directories', 'Directories that contain declarations', multiple=True
)
_MS_PER_S: Final = 1000


class CheckCommand(ReportingCommand):
    """Validates declarations without access to the store."""

    name = 'check'
    description = 'Check declarations and report all findings'
    arguments: ClassVar[list[Argument]] = [_DIRECTORIES]

    def _run(self) -> Report:
        declarations = load_declarations(*self.argument('directories'))
        services = [service.name for service in declarations.services]
        zones = sorted(declarations.zones)
        line = f'{len(services)} services and {len(zones)} availability zones are valid.'
        details = {'services': services, 'availability_zones': zones}
        return Report(ExitCode.DONE, 'valid', (line,), details)


class PublishCommand(StoreCommand):
    """Publishes declarations to the store."""

    name = 'publish'
    description = 'Check declarations, show the difference and publish it'
    arguments: ClassVar[list[Argument]] = [_DIRECTORIES]
    options: ClassVar[list[Option]] = [YES_OPTION, CONTROL_OPTION, *STORE_OPTIONS]

    def _run(self) -> Report:
        declarations = load_declarations(*self.argument('directories'))
        publisher = self._make_publisher(self._make_store())
        plan = publisher.plan(declarations)
        return self._submit(publisher, plan, needs_confirmation=not self.option('yes'))


class AuditCommand(StoreCommand):
    """Prints the audit records that the store retains."""

    name = 'audit'
    description = 'Show who changed the configuration and how, newest change first'

    def _run(self) -> Report:
        store = self._make_store()
        trail = read_audit_trail(store, read_head(store).head)
        lines = (
            *(_format_record(record) for record in trail.records),
            *(f'not readable: {problem}' for problem in trail.problems),
        )
        details = {
            'records': [record._asdict() for record in trail.records],
            'not_readable': list(trail.problems),
        }
        return Report(ExitCode.DONE, 'audit', lines, details)


def _format_record(record: AuditRecord) -> str:
    changed_at = datetime.fromtimestamp(record.wall_ms / _MS_PER_S, UTC)
    summary = '; '.join(record.summary)
    return '{0:%Y-%m-%d %H:%M:%S}Z {1} {2} -> {3} {4}: {5}'.format(
        changed_at,
        record.operator,
        record.from_version,
        record.to_version,
        record.result,
        summary,
    )
