"""Base class of the entry processes, and settings and status of an entry instance."""

from abc import abstractmethod
from contextlib import ExitStack
from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.core import Action, Endpoint
from persimmonreach.discovery import (
    ENTRIES_PREFIX,
    PROCESSES_PREFIX,
    AgentsDiscovered,
    EntriesDiscovered,
    RefreshRegistrations,
    RegisteredEntry,
    Registration,
    encode_entry,
)
from persimmonreach.discovery.tasks import (
    AGENT_REGISTRATIONS,
    ENTRY_REGISTRATIONS,
    RegistrationQuery,
    RegistrationTask,
)
from persimmonreach.forwarding import EntryForwarder, EntryIdentity, StopRequested
from persimmonreach.forwarding.tasks import CallerLink, EntryTask
from persimmonreach.observability.tasks import StatusSource
from persimmonreach.packets import PacketFormat
from persimmonreach.process._base import BaseProcess, wait_while
from persimmonreach.rules import (
    RulesChanged,
    RulesInForce,
    RulesOutdated,
    RulesSource,
    WatchAssigned,
)
from persimmonreach.rules.tasks import RulesWatchTask
from persimmonreach.runtime import PeerTask
from persimmonreach.store import Backoff, Store

# Time until a stopping entry instance is out of rotation. Its readiness is polled
# every 0.5 s, and two failed polls remove it.
_ROTATION_REMOVAL_S: Final = 1.2
# Time without a packet of a caller after which the fabric is considered to have
# removed this entry instance.
_QUIET_PERIOD_S: Final = 0.3
# Maximum delay between attempts to read the rules while the store is unavailable.
_MAX_RULES_BACKOFF_S: Final = 1.0


class CommonEntrySettings(NamedTuple):
    """Settings of an entry instance that both front ends have.

    Attributes
    ----------
    registration
        Id, availability zone and address of the entry instance; with port 0
        the operating system chooses the port.
    seeds
        Addresses of entry instances that receive the status of this one while no
        other entry instance is known, for example before the store responds.
    http_endpoint
        Address on which the HTTP server listens.
    shutdown_timeout_s
        Maximum duration of a graceful shutdown in seconds.

    """

    registration: RegisteredEntry
    seeds: tuple[Endpoint, ...]
    http_endpoint: Endpoint
    shutdown_timeout_s: float


class EntryStatusSource(StatusSource):
    """Readiness and status of an entry instance.

    Parameters
    ----------
    forwarder
        State machine whose state is reported.

    """

    def __init__(self, forwarder: EntryForwarder) -> None:
        self._forwarder = forwarder

    def is_ready(self) -> bool:
        """Return whether packets of callers can be routed."""
        return self._forwarder.is_ready

    def status(self) -> dict[str, Any]:
        """Return the status of the entry instance as a JSON object."""
        return {'role': 'entry', **self._forwarder.gauges}


class BaseEntryProcess(BaseProcess):
    """Base class of the entry processes.

    Subclasses provide the link to the callers, the store, the source of the rules
    and the codec of messages between processes.

    Parameters
    ----------
    common_settings
        Settings that do not depend on the front end.
    packet_format
        Codec of the packets of the front end.
    initial_counters
        Names of the counters that are published with 0 from the start.

    """

    def __init__(
        self,
        common_settings: CommonEntrySettings,
        packet_format: PacketFormat,
        initial_counters: tuple[str, ...] = (),
    ) -> None:
        super().__init__(common_settings.registration.entry, initial_counters)
        self._common_settings = common_settings
        self._packet_format = packet_format
        self._rules = RulesInForce()
        self._forwarding_task: Any = None
        self._registration_task: Any = None

    @property
    def _forwarder(self) -> EntryForwarder:
        return self._forwarding_task.machine

    @abstractmethod
    def _make_caller_link(self) -> CallerLink:
        """Return the link to the callers."""

    @abstractmethod
    def _make_store(self, stack: ExitStack) -> Store:
        """Return a store client for one task; ``stack`` closes it."""

    @abstractmethod
    def _make_rules_source(self) -> RulesSource:
        """Return a reader for the layout of the rules in the store."""

    def _start(self, stack: ExitStack) -> None:
        peer_task = self._make_peer_task(self._common_settings.registration.endpoint)
        registration = self._common_settings.registration._replace(
            endpoint=peer_task.endpoint
        )
        forwarder = EntryForwarder(
            EntryIdentity(registration, self._common_settings.seeds),
            self._packet_format,
            self._random,
        )
        self._forwarding_task = EntryTask(
            forwarder,
            self._clock,
            self._make_caller_link(),
            peer_task,
            self._dispatch,
        )
        peer_task.set_default_route(self._forwarding_task)
        self._start_additional_tasks(stack, peer_task)
        self._registration_task = self._make_entry_registration_task(stack, registration)
        rules_task = RulesWatchTask(
            self._make_store(stack),
            self._make_rules_source(),
            self._rules,
            self._clock,
            self._dispatch_rules_action,
            Backoff(_MAX_RULES_BACKOFF_S, self._random),
        )
        self._set_receivers(rules_task)
        for task in (
            peer_task,
            self._forwarding_task,
            rules_task,
            self._registration_task,
        ):
            stack.enter_context(task)
        self._start_servers(stack, peer_task)

    def _start_additional_tasks(self, stack: ExitStack, peer_task: PeerTask) -> None:
        """Start tasks that only one front end has; none by default."""

    def _start_servers(self, stack: ExitStack, peer_task: PeerTask) -> None:
        """Start the HTTP server and log the ports."""
        status_source = EntryStatusSource(self._forwarder)
        http_server = self._start_http(
            stack,
            self._common_settings.http_endpoint,
            status_source,
            (peer_task, self._forwarding_task),
        )
        self._logger.info(
            'listening',
            peer=peer_task.endpoint.port,
            http=http_server.endpoint.port,
        )

    def _dispatch_rules_action(self, action: Action) -> None:
        """Dispatch an action of the task that watches the rules in the store."""
        self._dispatch(action)

    def _set_receivers(self, rules_task: RulesWatchTask) -> None:
        self._dispatcher.set_receivers(
            {
                RulesChanged: (self._forwarding_task,),
                AgentsDiscovered: (self._forwarding_task,),
                EntriesDiscovered: (self._forwarding_task,),
                RefreshRegistrations: (self._registration_task,),
                RulesOutdated: (rules_task,),
                WatchAssigned: (rules_task,),
            },
        )

    def _make_entry_registration_task(
        self,
        stack: ExitStack,
        registration: RegisteredEntry,
    ) -> RegistrationTask:
        store = self._make_store(stack)
        key = ENTRIES_PREFIX + registration.entry
        return self._make_registration_task(
            store,
            Registration(store, key, encode_entry(registration)),
            RegistrationQuery(
                PROCESSES_PREFIX, (AGENT_REGISTRATIONS, ENTRY_REGISTRATIONS)
            ),
        )

    def _stop(self) -> None:
        """Withdraw the registration, and forward packets until the fabric sends none.

        The shutdown timeout limits the wait for the fabric.
        """
        self._forwarding_task.post(StopRequested())
        started_at = self._clock.now()
        self._registration_task.withdraw()
        gevent.sleep(min(_ROTATION_REMOVAL_S, self._common_settings.shutdown_timeout_s))
        remaining_s = self._common_settings.shutdown_timeout_s - (
            self._clock.now() - started_at
        )
        is_quiet = wait_while(self._is_receiving_packets, max(remaining_s, 0))
        seconds = round(self._clock.now() - started_at, 2)
        self._logger.info('drained', seconds=seconds, quiet=is_quiet)

    def _is_receiving_packets(self) -> bool:
        return self._clock.now() - self._forwarder.last_packet_at <= _QUIET_PERIOD_S
