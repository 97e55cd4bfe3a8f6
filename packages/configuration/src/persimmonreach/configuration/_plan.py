"""Planning of changes to the head, without I/O."""

import itertools
from collections.abc import Iterable
from typing import Any, NamedTuple

from persimmonreach.configuration._head import (
    Head,
    ServiceReference,
    merge_zone_states,
)
from persimmonreach.configuration._model import Declarations, ServiceConfig
from persimmonreach.configuration.codecs import encode_service
from persimmonreach.core import Finding, FindingError, FindingsError, ServiceId, Zone
from persimmonreach.rules import ZoneState


class StoredConfiguration(NamedTuple):
    """Configuration in the store, and the revision of its head.

    Attributes
    ----------
    head
        Current head.
    revision
        Revision of the key of the head; 0 if the key does not exist.
    services
        Services to which the head refers; empty if only the head was read.

    """

    head: Head
    revision: int = 0
    services: tuple[ServiceConfig, ...] = ()


class Plan(NamedTuple):
    """Complete change to the configuration, not written yet.

    Attributes
    ----------
    publish_id
        Id of the change.
    base
        Configuration on which the change is based.
    head
        Head after the change.
    writes
        New immutable keys to which the new head refers, with their values.
    difference
        One line of text per changed service or zone; empty if nothing changes.

    """

    publish_id: str
    base: StoredConfiguration
    head: Head
    writes: tuple[tuple[str, bytes], ...] = ()
    difference: tuple[str, ...] = ()


def plan_declarations(
    base: StoredConfiguration, declarations: Declarations, publish_id: str
) -> Plan:
    """Return the change that puts ``declarations`` in force.

    Parameters
    ----------
    base
        Current configuration with its services.
    declarations
        Declared services and zones.
    publish_id
        Id of the change.

    """
    services = _assign_ids(base, declarations)
    changed = [service for service in services if service not in base.services]
    new_references = {
        service.service: ServiceReference(service.service, service.version, publish_id)
        for service in changed
    }
    references = {
        reference.service: reference for reference in base.head.services
    } | new_references
    service_ids = [service.service for service in services]
    head = base.head.with_next_version(publish_id)._replace(
        services=tuple(references[service_id] for service_id in sorted(service_ids)),
        zones=_make_zone_states(base.head, declarations.zones),
        next_service=max((base.head.next_service - 1, *service_ids)) + 1,
    )
    writes = tuple(
        (references[service.service].key, encode_service(service)) for service in changed
    )
    difference = tuple(_describe_differences(base, declarations))
    return Plan(publish_id, base, head, writes, difference)


def _assign_ids(
    base: StoredConfiguration, declarations: Declarations
) -> list[ServiceConfig]:
    """Return the declared services with their ids and versions set."""
    current_by_name = {service.name: service for service in base.services}
    new_ids = itertools.count(base.head.next_service)
    services: list[ServiceConfig] = []
    for declared in declarations.services:
        current = current_by_name.get(declared.name)
        if current is not None and _is_unchanged(current, declared):
            services.append(current)
            continue
        service_id = current.service if current else ServiceId(next(new_ids))
        version = base.head.version + 1
        services.append(declared._replace(service=service_id, version=version))
    return services


def plan_zone_change(base: StoredConfiguration, change: ZoneState, wall_ms: int) -> Plan:
    """Return the change that takes a zone out of service or back.

    The change is planned even if the zone is in that state already, because an
    override that the head does not hold yet may set the opposite state.

    Parameters
    ----------
    base
        Current configuration; its services are not used.
    change
        New state of the zone; its sequence is replaced.
    wall_ms
        Wall-clock time in milliseconds since the Unix epoch, from which the
        sequence of the change is derived.

    Raises
    ------
    FindingsError
        If the zone is not declared.

    """
    current_by_zone = {state.zone: state for state in base.head.zones}
    current = current_by_zone.get(change.zone)
    if current is None:
        names = ', '.join(sorted(current_by_zone)) or 'none'
        finding = Finding(
            'command line',
            'NAME',
            f'availability zone {change.zone} is not declared',
            f'declared zones: {names}',
        )
        raise FindingsError('invalid command', [FindingError(finding)])
    sequenced = change._replace(sequence=max(wall_ms, current.sequence + 1))
    return _plan_zone_states(base, (sequenced,), change.change_id)


def plan_overrides(
    base: StoredConfiguration, overrides: tuple[ZoneState, ...], publish_id: str
) -> Plan:
    """Return the change that writes overrides into the head.

    Overrides that are older than the state of their zone in the head, and those
    of undeclared zones, are ignored.
    """
    return _plan_zone_states(base, overrides, publish_id)


def _plan_zone_states(
    base: StoredConfiguration, changes: tuple[ZoneState, ...], publish_id: str
) -> Plan:
    zones = merge_zone_states(base.head.zones, changes)
    difference = tuple(
        'availability zone {0}: {1} of service'.format(
            state.zone,
            'out' if state.out else 'back in',
        )
        for state in zones
        if state not in base.head.zones
    )
    head = base.head.with_next_version(publish_id)._replace(zones=zones)
    return Plan(publish_id, base, head, difference=difference)


def _is_unchanged(current: ServiceConfig, declared: ServiceConfig) -> bool:
    return declared == current._replace(service=declared.service, version=0)


def _make_zone_states(head: Head, zones: frozenset[Zone]) -> tuple[ZoneState, ...]:
    current_by_zone = {state.zone: state for state in head.zones}
    return tuple(current_by_zone.get(zone, ZoneState(zone)) for zone in sorted(zones))


def _describe_differences(
    base: StoredConfiguration, declarations: Declarations
) -> Iterable[str]:
    before = {service.name: service for service in base.services}
    after = {service.name: service for service in declarations.services}
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield f'service {name}: added'
        elif name not in after:
            yield f'service {name}: removed'
        elif not _is_unchanged(before[name], after[name]):
            yield f'service {name}: {_describe_field_changes(before[name], after[name])}'
    zones_before = frozenset(state.zone for state in base.head.zones)
    for added in sorted(declarations.zones - zones_before):
        yield f'availability zone {added}: added'
    for removed in sorted(zones_before - declarations.zones):
        yield f'availability zone {removed}: removed'


def _describe_field_changes(before: ServiceConfig, after: ServiceConfig) -> str:
    ignored_fields = {'service', 'version'}
    old = _list_fields(before)
    return ', '.join(
        f'{field} {old[field]} -> {value}'
        for field, value in _list_fields(after).items()
        if field not in ignored_fields and old[field] != value
    )


def _list_fields(service: ServiceConfig) -> dict[str, Any]:
    """Return the fields of a service as they are shown to operators."""
    return {
        **service._asdict(),
        'traffic_class': service.traffic_class.describe(),
    }
