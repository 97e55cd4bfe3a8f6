"""Base class of the agent processes, and the settings and status of an agent."""

import time
from abc import abstractmethod
from contextlib import ExitStack
from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.core import Endpoint, Incarnation
from persimmonreach.discovery import (
    AGENTS_PREFIX,
    ENTRIES_PREFIX,
    EntriesDiscovered,
    RegisteredAgent,
    Registration,
    encode_agent,
)
from persimmonreach.discovery.tasks import ENTRY_REGISTRATIONS, RegistrationQuery
from persimmonreach.forwarding import (
    AgentForwarder,
    AgentIdentity,
    AgentPolicy,
    StopRequested,
)
from persimmonreach.forwarding.tasks import AgentTask, BackendLink, CallerLink
from persimmonreach.observability.tasks import StatusSource
from persimmonreach.packets import PacketFormat
from persimmonreach.process._base import BaseProcess, wait_while
from persimmonreach.runtime import PeerTask
from persimmonreach.store import Store

# Limit on the wait for all known entry instances to acknowledge the stop.
_STOP_ACKNOWLEDGEMENT_TIMEOUT_S: Final = 0.5
_NS_PER_MS: Final = 1_000_000


class CommonAgentSettings(NamedTuple):
    """Settings of an agent that both front ends have.

    Attributes
    ----------
    registration
        Id, service, availability zone and address of the agent; with port 0
        the operating system chooses the port.
    seeds
        Addresses of entry instances that receive the status of the agent while
        no entry instance is known.
    http_endpoint
        Address on which the HTTP server listens.
    shutdown_timeout_s
        Maximum time in seconds to wait for pending requests during a graceful
        shutdown.

    """

    registration: RegisteredAgent
    seeds: tuple[Endpoint, ...]
    http_endpoint: Endpoint
    shutdown_timeout_s: float


class AgentStatusSource(StatusSource):
    """Readiness and status of an agent.

    Parameters
    ----------
    common_settings
        Settings that identify the agent.
    forwarder
        State machine whose state is reported.

    """

    def __init__(
        self, common_settings: CommonAgentSettings, forwarder: AgentForwarder
    ) -> None:
        self._common_settings = common_settings
        self._forwarder = forwarder

    def is_ready(self) -> bool:
        """Return whether the agent counts as ready.

        The state of the backend server must be known, and it must be running and not
        draining.
        """
        forwarder = self._forwarder
        is_running = forwarder.is_backend_state_known and forwarder.is_backend_running
        return is_running and not forwarder.is_draining

    def status(self) -> dict[str, Any]:
        """Return the status of the agent as a JSON object."""
        registration = self._common_settings.registration
        return {
            'instance': registration.agent,
            'role': 'agent',
            'zone': registration.zone,
            'service': registration.service,
            'ready': self.is_ready(),
            'draining': self._forwarder.is_draining,
            'zone_in_service': self._forwarder.is_zone_in_service,
            'configuration_version': self._forwarder.configuration_version,
            **self._forwarder.gauges,
        }


class BaseAgentProcess(BaseProcess):
    """Base class of the agent processes.

    Subclasses provide the links, the store, the reports of the backend server and
    the codec of messages between processes.

    Parameters
    ----------
    common_settings
        Settings that do not depend on the front end.
    packet_format
        Codec of the packets of the front end.
    policy
        Settings of the agent that depend on the front end.
    initial_counters
        Names of the counters that are published with 0 from the start.

    """

    def __init__(
        self,
        common_settings: CommonAgentSettings,
        packet_format: PacketFormat,
        policy: AgentPolicy,
        initial_counters: tuple[str, ...] = (),
    ) -> None:
        super().__init__(common_settings.registration.agent, initial_counters)
        self._common_settings = common_settings
        # Instances keep no state across restarts, so the incarnation number of a
        # process is its start time by the wall clock.
        started_at_ms = time.time_ns() // _NS_PER_MS
        identity = AgentIdentity(
            common_settings.registration.agent,
            common_settings.registration.service,
            common_settings.registration.zone,
            Incarnation(started_at_ms),
            common_settings.seeds,
            started_at_ms if policy.shares_clock_with_backend else None,
        )
        self._forwarder = AgentForwarder(identity, packet_format, self._random, policy)
        self._forwarding_task: Any = None
        self._registration_task: Any = None

    @abstractmethod
    def _make_backend_link(self) -> BackendLink:
        """Return the link to the backend server."""

    @abstractmethod
    def _make_caller_link(self) -> CallerLink:
        """Return the link to the callers."""

    @abstractmethod
    def _start_backend_reports(self, stack: ExitStack) -> None:
        """Start receiving status reports of the backend server."""

    @abstractmethod
    def _make_store(self, stack: ExitStack) -> Store | None:
        """Return a store client that ``stack`` closes; None to skip registration."""

    def _start(self, stack: ExitStack) -> None:
        peer_task = self._make_peer_task(self._common_settings.registration.endpoint)
        self._forwarding_task = AgentTask(
            self._forwarder,
            self._make_backend_link(),
            self._clock,
            self._make_caller_link(),
            peer_task,
            self._dispatch,
        )
        peer_task.set_default_route(self._forwarding_task)
        self._dispatcher.set_receivers({EntriesDiscovered: (self._forwarding_task,)})
        for task in (peer_task, self._forwarding_task):
            stack.enter_context(task)
        self._start_backend_reports(stack)
        self._start_registration_task(stack, peer_task)
        status_source = AgentStatusSource(self._common_settings, self._forwarder)
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

    def _start_registration_task(self, stack: ExitStack, peer_task: PeerTask) -> None:
        store = self._make_store(stack)
        if store is None:
            return
        registration = self._common_settings.registration._replace(
            endpoint=peer_task.endpoint
        )
        key = AGENTS_PREFIX + registration.agent
        self._registration_task = self._make_registration_task(
            store,
            Registration(store, key, encode_agent(registration)),
            RegistrationQuery(ENTRIES_PREFIX, (ENTRY_REGISTRATIONS,)),
        )
        stack.enter_context(self._registration_task)

    def _stop(self) -> None:
        """Announce the stop, wait for pending requests and withdraw the registration.

        Does not wait for requests if the backend server has left or is down.
        """
        self._forwarding_task.post(StopRequested())
        # Lets the forwarding task handle the message before the conditions are checked.
        gevent.sleep(0)
        wait_while(self._has_pending_requests, self._common_settings.shutdown_timeout_s)
        wait_while(self._is_stop_unacknowledged, _STOP_ACKNOWLEDGEMENT_TIMEOUT_S)
        if self._registration_task is not None:
            self._registration_task.withdraw()
        self._logger.info(
            'drained',
            requests_left=self._forwarder.busy_flow_count,
            flows_left=self._forwarder.flow_count,
        )

    def _has_pending_requests(self) -> bool:
        return self._forwarder.is_backend_running and self._forwarder.busy_flow_count > 0

    def _is_stop_unacknowledged(self) -> bool:
        return not self._forwarder.is_state_acknowledged
