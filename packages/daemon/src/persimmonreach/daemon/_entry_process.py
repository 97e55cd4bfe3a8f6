"""Composition root of an entry instance."""

import random
import time
from contextlib import ExitStack
from typing import Final

import gevent

from persimmonreach.configuration import (
    ConfigurationChanged,
    EntriesChanged,
    EntryConfiguration,
    EntryInstance,
    Publisher,
    PublisherSettings,
    Timing,
)
from persimmonreach.configuration import EntrySettings as ConfigurationSettings
from persimmonreach.configuration.adapters import HttpStore
from persimmonreach.configuration.messages import MESSAGE_TYPES as CONFIGURATION_TYPES
from persimmonreach.configuration.tasks import EntryConfigurationTask, StoreAccess
from persimmonreach.control.adapters import ControlServer
from persimmonreach.core import EntryId, Zone
from persimmonreach.daemon._entry_status import (
    EntryOperatorService,
    EntryState,
    EntryStatusSource,
)
from persimmonreach.daemon._process import DaemonProcess
from persimmonreach.daemon._settings import EntrySettings
from persimmonreach.membership import EntryMembership, ViewChanged
from persimmonreach.membership.messages import MESSAGE_TYPES as MEMBERSHIP_TYPES
from persimmonreach.membership.tasks import EntryMembershipTask
from persimmonreach.observability import (
    ENTRY_PROMISES,
    TaskFigures,
    promised_counters,
)
from persimmonreach.observability.tasks import HttpEndpoint, StopSignal
from persimmonreach.packets import Ipv4TcpCodec
from persimmonreach.packets.adapters import UdpFabric
from persimmonreach.routing import EntryRouter
from persimmonreach.routing.tasks import FabricTask
from persimmonreach.runtime import PeerTask, UdpSocket

# The fabric polls readiness; packets already on their way still arrive.
_WITHDRAW_S: Final = 2
_MS_PER_S: Final = 1000


class EntryProcess(DaemonProcess):
    """An entry instance with all its tasks.

    Parameters
    ----------
    settings
        Checked settings.

    """

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__(settings, promised_counters(ENTRY_PROMISES))
        self._settings = settings

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        stop = StopSignal(self._logger)
        with ExitStack() as stack:
            status = self._start(stack)
            stop.wait()
            status.withdraw()
            self._logger.info('withdrawing', seconds=_WITHDRAW_S)
            gevent.sleep(_WITHDRAW_S)
        self._logger.info('stopped')
        self._logger.close()

    def _start(self, stack: ExitStack) -> EntryStatusSource:
        peers = self._make_peers(self._settings)
        entry = EntryInstance(
            EntryId(self._settings.instance),
            Zone(self._settings.zone),
            peers.endpoint,
        )
        state = self._make_state(entry)
        fabric = UdpFabric(UdpSocket(self._bind(self._settings.fabric_port)), None)
        fabric_task = FabricTask(state.router, fabric, peers, self._clock)
        membership_task = EntryMembershipTask(
            state.membership,
            peers.send,
            self._dispatcher.accept,
            self._clock,
        )
        configuration_task = self._make_configuration_task(state, entry, peers, stack)
        self._dispatcher.connect(
            {
                ConfigurationChanged: (fabric_task, membership_task),
                EntriesChanged: (membership_task,),
                ViewChanged: (fabric_task,),
            },
        )
        peers.connect(dict.fromkeys(MEMBERSHIP_TYPES.values(), membership_task))
        peers.connect(dict.fromkeys(CONFIGURATION_TYPES.values(), configuration_task))
        for task in (peers, membership_task, configuration_task, fabric_task):
            stack.enter_context(task)
        status = self._start_endpoints(stack, state, configuration_task, fabric, peers)
        self._publish_figures(state, status, peers, fabric_task)
        return status

    def _make_state(self, entry: EntryInstance) -> EntryState:
        rng = random.SystemRandom()
        settings = ConfigurationSettings(entry.entry, entry.zone, self._settings.seeds)
        return EntryState(
            self._settings,
            self._clock,
            EntryRouter(entry.zone, Ipv4TcpCodec()),
            EntryConfiguration(settings, rng),
            EntryMembership(entry, self._settings.membership, rng),
        )

    def _make_configuration_task(
        self,
        state: EntryState,
        entry: EntryInstance,
        peers: PeerTask,
        stack: ExitStack,
    ) -> EntryConfigurationTask:
        store = HttpStore(self._settings.store)
        stack.callback(store.close)
        publisher = Publisher(
            PublisherSettings(self._settings.instance),
            store,
            Timing(self._clock, _wall_ms, gevent.sleep),
            random.SystemRandom(),
        )
        access = StoreAccess(store, entry, publisher, random.SystemRandom())
        return EntryConfigurationTask(
            state.configuration,
            self._clock,
            peers.send,
            self._dispatcher.accept,
            access,
        )

    def _publish_figures(
        self,
        state: EntryState,
        status: EntryStatusSource,
        peers: PeerTask,
        fabric_task: FabricTask,
    ) -> None:
        self._counters.register(
            TaskFigures(
                lambda: {**peers.counts, **fabric_task.counts},
                lambda: {
                    'ready': int(status.is_ready()),
                    'zone_in_service': int(state.router.is_zone_in_service),
                    'configuration_version': state.router.configuration.version,
                    'configuration_age_seconds': state.configuration.age(
                        self._clock.now(),
                    ),
                    'members': len(state.membership.rows),
                },
            ),
        )

    def _start_endpoints(
        self,
        stack: ExitStack,
        state: EntryState,
        configuration_task: EntryConfigurationTask,
        fabric: UdpFabric,
        peers: PeerTask,
    ) -> EntryStatusSource:
        status = EntryStatusSource(state)
        http = HttpEndpoint(self._bind(self._settings.http_port), self._counters, status)
        control = ControlServer(
            EntryOperatorService(state, status, configuration_task),
            self._bind(self._settings.control_port),
        )
        for server in (http, control):
            server.start()
            stack.callback(server.stop)
        self._logger.info(
            'listening',
            fabric=fabric.endpoint.port,
            peer=peers.endpoint.port,
            http=http.endpoint.port,
            control=control.endpoint.port,
        )
        return status


def _wall_ms() -> int:
    return int(time.time() * _MS_PER_S)
