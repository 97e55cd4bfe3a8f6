"""Composition root of an agent."""

import random
import time
from contextlib import ExitStack
from typing import Final

import gevent

from persimmonreach.configuration import (
    AgentConfiguration,
    ConfigurationChanged,
    EntriesChanged,
    ServiceConfig,
    VersionOffered,
)
from persimmonreach.configuration import AgentSettings as ConfigurationSettings
from persimmonreach.configuration.messages import MESSAGE_TYPES as CONFIGURATION_TYPES
from persimmonreach.configuration.tasks import AgentConfigurationTask
from persimmonreach.core import AgentId, Endpoint, Incarnation, Zone
from persimmonreach.daemon._agent_parts import make_router
from persimmonreach.daemon._agent_status import AgentStatusSource
from persimmonreach.daemon._process import DaemonProcess
from persimmonreach.daemon._service_waiter import ServiceWaiter, find_service
from persimmonreach.daemon._settings import AgentSettings
from persimmonreach.membership import (
    AgentMembership,
    FlowsCounted,
    LeaseLapsed,
    LeaseRenewed,
    Member,
    MemberState,
    ReportLoad,
    StateAnnounced,
    ViewChanged,
    ViewConfirmed,
)
from persimmonreach.membership.messages import MESSAGE_TYPES as MEMBERSHIP_TYPES
from persimmonreach.membership.tasks import AgentMembershipTask
from persimmonreach.observability import (
    AGENT_PROMISES,
    TaskFigures,
    add_counts,
    promised_counters,
)
from persimmonreach.observability.tasks import HttpEndpoint, StopSignal
from persimmonreach.packets.adapters import UdpBackendServer, UdpFabric
from persimmonreach.requests import StopRequested
from persimmonreach.routing import DrainRequested
from persimmonreach.routing.tasks import AgentLinks, BackendMonitorTask, FlowTask
from persimmonreach.runtime import PeerTask, UdpSocket, end_process

_DRAIN_POLL_S: Final = 0.05
_MILLISECONDS: Final = 1000
# Changes that the decisions on packets act on.
_FLOW_EVENTS: Final = (
    ConfigurationChanged,
    ViewChanged,
    ViewConfirmed,
    LeaseRenewed,
    LeaseLapsed,
    ReportLoad,
)


class AgentProcess(DaemonProcess):
    """An agent with all its tasks.

    Parameters
    ----------
    settings
        Checked settings.

    """

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__(settings, promised_counters(AGENT_PROMISES))
        self._settings = settings
        self._configuration = AgentConfiguration(
            ConfigurationSettings(settings.service, settings.seeds),
            random.SystemRandom(),
        )

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        stop = StopSignal(self._logger)
        status = AgentStatusSource(self._settings, self._configuration, self._clock)
        with ExitStack() as stack:
            peers = self._start_endpoints(stack, status)
            starter = gevent.spawn(self._start_flows, stack, peers, status)
            # An agent whose flow task cannot start must not look alive.
            starter.link_exception(end_process)
            stop.wait()
            if starter.ready():
                self._drain(starter.get())
            starter.kill()
        self._logger.info('stopped')
        self._logger.close()

    def _start_endpoints(self, stack: ExitStack, status: AgentStatusSource) -> PeerTask:
        peers = self._make_peers(self._settings)
        stack.enter_context(peers)
        http = HttpEndpoint(self._bind(self._settings.http_port), self._counters, status)
        http.start()
        stack.callback(http.stop)
        self._logger.info(
            'listening',
            peer=peers.endpoint.port,
            http=http.endpoint.port,
        )
        return peers

    def _start_flows(
        self,
        stack: ExitStack,
        peers: PeerTask,
        status: AgentStatusSource,
    ) -> FlowTask:
        waiter = stack.enter_context(ServiceWaiter(self._settings.service))
        configuration_task = AgentConfigurationTask(
            self._configuration,
            self._clock,
            peers.send,
            self._dispatcher.accept,
        )
        self._dispatcher.connect({ConfigurationChanged: (waiter,)})
        peers.connect(dict.fromkeys(CONFIGURATION_TYPES.values(), configuration_task))
        stack.enter_context(configuration_task)
        configuration = waiter.wait()
        service = find_service(configuration, self._settings.service)
        flows = self._make_flow_task(service, peers)
        membership = self._make_membership_task(service, peers)
        self._connect(flows, membership, configuration_task)
        peers.connect(dict.fromkeys(MEMBERSHIP_TYPES.values(), membership))
        peers.route_others(flows)
        self._publish_figures(peers, flows, status)
        status.attach(flows)
        monitor = BackendMonitorTask(flows.backend, flows, self._dispatcher.accept)
        for task in (flows, membership, monitor):
            stack.enter_context(task)
        self._dispatcher.accept(ConfigurationChanged(configuration))
        return flows

    def _make_flow_task(self, service: ServiceConfig, peers: PeerTask) -> FlowTask:
        address = self._settings.backend
        backend = UdpBackendServer(
            UdpSocket(self._bind(0)),
            Endpoint(address.host, address.port),
            Endpoint(address.host, address.http_port),
        )
        fabric = UdpFabric(UdpSocket(self._bind(0)), self._settings.fabric)
        return FlowTask(
            make_router(self._settings, service, peers.endpoint),
            AgentLinks(backend, fabric, peers, self._dispatcher.accept),
            self._clock,
        )

    def _make_membership_task(
        self,
        service: ServiceConfig,
        peers: PeerTask,
    ) -> AgentMembershipTask:
        member = Member(
            AgentId(self._settings.instance),
            # An instance keeps nothing, so the wall clock orders incarnations.
            Incarnation(int(time.time() * _MILLISECONDS)),
            service.service,
            Zone(self._settings.zone),
            peers.endpoint,
            MemberState.JOINING,
        )
        membership = AgentMembership(
            member,
            self._settings.membership,
            self._settings.seeds,
            random.SystemRandom(),
        )
        return AgentMembershipTask(
            membership,
            peers.send,
            self._dispatcher.accept,
            self._clock,
        )

    def _connect(
        self,
        flows: FlowTask,
        membership: AgentMembershipTask,
        configuration_task: AgentConfigurationTask,
    ) -> None:
        self._dispatcher.connect(dict.fromkeys(_FLOW_EVENTS, (flows,)))
        self._dispatcher.connect({ConfigurationChanged: (flows, membership)})
        self._dispatcher.connect(
            dict.fromkeys((StateAnnounced, FlowsCounted), (membership,)),
        )
        self._dispatcher.connect(
            dict.fromkeys((VersionOffered, EntriesChanged), (configuration_task,)),
        )

    def _publish_figures(
        self,
        peers: PeerTask,
        flows: FlowTask,
        status: AgentStatusSource,
    ) -> None:
        self._counters.register(
            TaskFigures(
                lambda: add_counts(peers.counts, flows.counts),
                lambda: {
                    **flows.router.gauges,
                    'ready': int(status.is_ready()),
                    'configuration_version': self._configuration.configuration.version,
                    'configuration_age_seconds': status.age(),
                },
            ),
        )

    def _drain(self, flows: FlowTask) -> None:
        """Hand buckets over, finish requests and pass on their records.

        The state ``left`` is announced only if no flow is open: the flows of
        a backend server that goes on are adopted by the agent's successor.
        """
        self._logger.info('draining', seconds=self._settings.shutdown_s)
        flows.post(DrainRequested())
        router = flows.router
        # Half of the time for each: an agent without peers keeps its buckets.
        longest = self._settings.shutdown_s / 2
        with gevent.Timeout(longest, exception=False):
            while router.owned_buckets:
                gevent.sleep(_DRAIN_POLL_S)
        # Callers wait from here until the successor runs, so this is last.
        flows.post(StopRequested())
        with gevent.Timeout(longest, exception=False):
            while not router.is_sealed:
                gevent.sleep(_DRAIN_POLL_S)
        self._logger.info(
            'drained',
            requests_left=router.gauges['requests_running'],
            flows_left=router.flow_count,
            buckets_left=router.owned_buckets,
        )
        if not router.flow_count:
            self._dispatcher.accept(StateAnnounced(MemberState.LEFT))
            gevent.sleep(self._settings.membership.heartbeat_s)
