"""Promises that are checked at the end of a case."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Final, TypeAlias

from persimmonreach.core import BUCKETS_PER_SERVICE, FlowKey
from persimmonreach.proof._callers import RequestRow
from persimmonreach.proof._excuses import EVERYONE
from persimmonreach.proof._journal import flow_label, request_label
from persimmonreach.proof._settings import SILENT_S
from persimmonreach.proof._world import World
from persimmonreach.standins._caller_journal import CallOutcome

# The last probe is answered or not within one more second.
_SILENT_GRACE_S: Final = 1.5
_BROKEN: Final = frozenset(('reset', 'finished_by_server'))
_CUT: Final = frozenset((CallOutcome.RESET, CallOutcome.NO_REPLY))


def check_end(world: World) -> None:
    """Record the promises that are broken at the end of the case."""
    for promise, find in _CHECKS.items():
        for detail in find(world):
            world.journal.breaks(promise, detail)


def check_recovered(world: World) -> None:
    """Record buckets that nobody admits new flows for."""
    for service in ('counter', 'sheet'):
        admitting = len(world.invariants.admitting(service))
        if admitting < BUCKETS_PER_SERVICE:
            detail = f'{admitting} buckets of {service} are owned'
            world.journal.breaks('buckets_owned_again', detail)


def check_opened(world: World, keys: Iterable[FlowKey]) -> None:
    """Record new flows that did not open after the faults had ended."""
    for key in keys:
        row = world.callers.flows[key]
        if row.opened_at is None:
            label = flow_label(key)
            detail = f'{label} {row.reason}'
            world.journal.breaks('new_flows_open_again', detail)


def is_excused(world: World, key: FlowKey) -> bool:
    """Return whether a fault of the case may break the flow."""
    excuses = world.excuses
    if key in excuses.forgotten:
        return True
    return any(
        holder in excuses.dead_servers or world.agents[holder].zone in excuses.zones_out
        for holder in world.journal.holders.get(key, ())
    )


def _broken_flows(world: World) -> Iterable[str]:
    for key, row in world.callers.flows.items():
        if row.opened_at is not None and row.reason in _BROKEN:
            if not is_excused(world, key):
                label, holders = flow_label(key), world.journal.holders[key]
                yield f'{label} at {holders} {row.reason}'


def _wrong_answers(world: World) -> Iterable[str]:
    for request_id, row in world.callers.requests.items():
        if row.outcome == CallOutcome.WRONG:
            yield request_label(request_id)


def _false_not_run(world: World) -> Iterable[str]:
    for request_id, row in world.callers.requests.items():
        if row.outcome == CallOutcome.NOT_RUN and world.journal.runs.get(request_id):
            label, runs = request_label(request_id), world.journal.runs[request_id]
            yield f'{label} {runs}'


def _run_twice(world: World) -> Iterable[str]:
    runs: dict[bytes, list[str]] = {}
    for request_id, row in world.callers.requests.items():
        if not row.idempotent:
            found = world.journal.runs.get(request_id, ())
            runs.setdefault(row.order, []).extend(run.server for run in found)
    for order, servers in runs.items():
        if len(servers) > 1:
            label = request_label(order)
            yield f'order {label} at {servers}'


def _admitted_twice(world: World) -> Iterable[str]:
    for key, servers in world.journal.holders.items():
        if len(servers) > 1:
            label = flow_label(key)
            yield f'{label} at {servers}'


def _without_reply(world: World) -> Iterable[str]:
    for request_id, row in world.callers.requests.items():
        if row.outcome in {CallOutcome.NO_REPLY, CallOutcome.OPEN}:
            if not _may_lack_reply(world, row):
                yield _request_line(request_id, row)


def _cut_by_shutdown(world: World) -> Iterable[str]:
    for request_id, row in world.callers.requests.items():
        holders = world.journal.holders.get(row.key, ())
        servers = [world.agents[holder].server for holder in holders]
        drains = any(server.draining_since is not None for server in servers)
        if drains and row.outcome in _CUT and not _may_lack_reply(world, row):
            yield _request_line(request_id, row)


def _silent_flows(world: World) -> Iterable[str]:
    for key, since in world.excuses.forgotten.items():
        holders = set(world.journal.holders[key])
        limit = since + SILENT_S + _SILENT_GRACE_S
        if world.excuses.absent({*holders, EVERYONE}, since, limit):
            continue
        for holder in holders:
            server = world.agents[holder].server
            if world.now > limit and key in server.connections:
                label = flow_label(key)
                yield f'{label} at {holder}'


def _request_line(request_id: bytes, row: RequestRow) -> str:
    label, flow = request_label(request_id), flow_label(row.key)
    sent_at = round(row.sent_at, 1)
    return f'{label} of {flow} sent {sent_at} {row.outcome}'


def _may_lack_reply(world: World, row: RequestRow) -> bool:
    if is_excused(world, row.key):
        return True
    agents = {row.owner, EVERYONE, *world.journal.holders.get(row.key, ())}
    ended_at = world.now if row.ended_at is None else row.ended_at
    return world.excuses.absent(agents, row.sent_at, ended_at)


_Check: TypeAlias = Callable[[World], Iterable[str]]
_CHECKS: Final[Mapping[str, _Check]] = MappingProxyType(
    {
        'established_flow_survives': _broken_flows,
        'answer_is_whole': _wrong_answers,
        'not_run_is_true': _false_not_run,
        'runs_at_most_once': _run_twice,
        'admitted_once': _admitted_twice,
        'one_reply': _without_reply,
        'shutdown_cuts_nothing': _cut_by_shutdown,
        'silent_flow_ends': _silent_flows,
    },
)
