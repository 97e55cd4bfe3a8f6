"""Steps of the demo for one deployment."""

import sys
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Final, TypedDict

import gevent

from persimmonreach.core import Clock, MonotonicClock
from persimmonreach.standins._backend_journal import BackendJournal
from persimmonreach.standins._caller_journal import RequestOutcome
from persimmonreach.standins._capacity import ServerState
from persimmonreach.standins._deployments import Deployment
from persimmonreach.standins._journal import (
    FlowFigures,
    RequestFigures,
    RunJournals,
    flow_figures,
    request_figures,
)
from persimmonreach.standins._platform import Platform, wait_for
from persimmonreach.standins._process import http_json
from persimmonreach.standins._processes import (
    ChildProcess,
    DemoError,
    ProcessManager,
    run_cli,
)

# Observation time after a step, long enough for the requirement that it tests.
_DRAIN_OBSERVATION_S: Final = 2.0
_KILL_OBSERVATION_S: Final = 2.0
_RESTART_OBSERVATION_S: Final = 3.0
_ZONE_OUT_OBSERVATION_S: Final = 6.0
_ZONE_IN_OBSERVATION_S: Final = 3.0
_IN_FORCE_TIMEOUT_S: Final = 14.0
_STOP_TIMEOUT_S: Final = 6.0
# Limit of flows per backend server in the first and in the changed declaration.
_CONNECTION_COUNT: Final = 2000
_CHANGED_CONNECTION_COUNT: Final = 2100
_HTTP: Final = 'http'


class Figures(RequestFigures, FlowFigures):
    """All figures of one deployment; times are in seconds.

    Attributes
    ----------
    imbalance
        Largest number of flows on a backend server of the service with long flows,
        divided by the mean.
    seconds_to_in_force
        From the start of the command that publishes a changed declaration until
        all daemons use it.
    seconds_to_last_packet_to_zone
        From the command that takes the zone out of service to the last packet that
        reaches one of its backend servers.
    seconds_to_last_new_flow_while_draining
        From the request that drains a backend server to the last new flow on it.

    """

    imbalance: float
    seconds_to_in_force: float
    seconds_to_last_packet_to_zone: float
    seconds_to_last_new_flow_while_draining: float
    duration_s: float


class _Measurements(TypedDict, total=False):
    imbalance: float
    drained_at: float
    drained: str
    out_at: float
    to_last_packet_s: float
    in_force_s: float


class DemoScript:
    """Runs the steps of the demo on one deployment.

    Parameters
    ----------
    deployment
        Deployment to run.
    directory
        Directory of settings, declarations and logs.
    report_progress
        Called with one line per step.

    """

    def __init__(
        self,
        deployment: Deployment,
        directory: Path,
        report_progress: Callable[[str], None],
    ) -> None:
        self._deployment = deployment
        self._directory = directory
        self._report_progress = report_progress
        self._clock: Clock = MonotonicClock()
        self._processes = ProcessManager(directory)
        self._platform = Platform(deployment, self._processes)
        self._measurements = _Measurements()

    def run(self) -> Figures:
        """Run all steps and return the figures.

        Raises
        ------
        DemoError
            If a process or a command fails.

        """
        started_at = self._clock.now()
        with ExitStack() as resources:
            resources.callback(self._processes.stop)
            self._start()
            self._replace_server()
            self._restart_agent()
            self._replace_entry()
            self._take_zone_out()
            self._change_declaration()
            figures = self._compute_figures()
        figures['duration_s'] = self._clock.now() - started_at
        return figures

    def _start(self) -> None:
        platform = self._platform
        self._report_progress('starting store, fabric and entry instances')
        command = [sys.executable, '-m', 'persimmonreach.standins.store', '--port', '0']
        platform.start_network(command)
        self._publish(_CONNECTION_COUNT)
        self._report_progress('starting backend servers and agents')
        platform.start_servers()
        platform.wait_ready()
        self._report_progress('all ready; opening flows')
        platform.start_callers()
        wait_for('long flows to open', self._are_long_flows_open)
        self._measurements['imbalance'] = self._imbalance()

    def _replace_server(self) -> None:
        platform = self._platform
        plan = self._deployment.long_service
        old = platform.server_in(plan, self._deployment.zones[0])
        self._report_progress(f'draining {old.name}; starting a cold backend server')
        self._measurements['drained'] = old.name
        self._measurements['drained_at'] = self._clock.now()
        body = {'state': ServerState.DRAINING}
        http_json(old.backend.endpoint(_HTTP), '/state', body)
        platform.add_server(plan, old.zone, ServerState.COLD)
        gevent.sleep(_DRAIN_OBSERVATION_S)

    def _restart_agent(self) -> None:
        platform = self._platform
        plan = self._deployment.long_service
        server = platform.server_in(plan, self._deployment.zones[1])
        self._report_progress(f'stopping the agent of {server.name}; starting a new one')
        platform.restart_agent(server)
        gevent.sleep(_RESTART_OBSERVATION_S)

    def _replace_entry(self) -> None:
        zone = self._deployment.zones[1]
        self._report_progress(f'killing the entry instance in {zone}; starting a new one')
        self._platform.kill_entry(zone)
        self._platform.add_entry(zone)
        gevent.sleep(_KILL_OBSERVATION_S)

    def _take_zone_out(self) -> None:
        zone = self._deployment.removed_zone
        self._report_progress(f'taking {zone} out of service')
        out_at = self._clock.now()
        self._measurements['out_at'] = out_at
        self._change_zone('out')
        gevent.sleep(max(out_at + _ZONE_OUT_OBSERVATION_S - self._clock.now(), 0))
        last_packet_at = max(
            self._journal_of(server.backend)['last_packet_at']
            for server in self._platform.servers
            if server.zone == zone
        )
        self._measurements['to_last_packet_s'] = max(last_packet_at - out_at, 0)
        self._report_progress(f'returning {zone} to service')
        self._change_zone('in')
        gevent.sleep(_ZONE_IN_OBSERVATION_S)

    def _change_declaration(self) -> None:
        self._report_progress('publishing a changed declaration')
        old_version = max(self._configuration_versions())
        # The measured time includes the run of the command.
        started_at = self._clock.now()
        self._publish(_CHANGED_CONNECTION_COUNT)
        self._wait_or_report(
            'the declaration to be in force',
            lambda: min(self._configuration_versions()) > old_version,
            _IN_FORCE_TIMEOUT_S,
        )
        self._measurements['in_force_s'] = self._clock.now() - started_at

    def _collect_journals(self, removed_zone: str, out_at: float) -> RunJournals:
        """Stop the callers and return the journals of callers and backend servers."""
        self._report_progress('closing the flows of the callers')
        callers = self._platform.callers.endpoint(_HTTP)
        http_json(callers, '/stop', {})
        self._wait_or_report(
            'the end of all requests', self._are_requests_ended, _STOP_TIMEOUT_S
        )
        servers = self._platform.servers
        journals = RunJournals(
            http_json(callers, '/journal'),
            [self._journal_of(server.backend) for server in servers],
            {server.name: server.zone for server in servers},
            removed_zone,
            out_at,
        )
        self._processes.write_json('journals.json', journals._asdict())
        return journals

    def _compute_figures(self) -> Figures:
        journals = self._collect_journals(
            self._deployment.removed_zone, self._measurements['out_at']
        )
        last_new_flow_at = {
            journal['instance']: journal['last_new_flow_at']
            for journal in journals.servers
        }[self._measurements['drained']]
        return Figures(
            **request_figures(journals),
            **flow_figures(journals),
            imbalance=self._measurements['imbalance'],
            seconds_to_in_force=self._measurements['in_force_s'],
            seconds_to_last_packet_to_zone=self._measurements['to_last_packet_s'],
            seconds_to_last_new_flow_while_draining=max(
                last_new_flow_at - self._measurements['drained_at'], 0
            ),
            duration_s=0,
        )

    def _publish(self, connections: int) -> None:
        declarations = self._directory / 'declarations'
        declarations.mkdir(exist_ok=True)
        zones = {'availability_zones': self._deployment.zones}
        self._processes.write_json('declarations/zones.json', zones)
        for plan in self._deployment.services:
            name = f'declarations/{plan.name}.service.json'
            self._processes.write_json(name, plan.declaration(connections))
        store_address = self._platform.store_address
        run_cli('publish', str(declarations), '--yes', '--store', store_address)

    def _change_zone(self, state: str) -> None:
        zone, store_address = self._deployment.removed_zone, self._platform.store_address
        run_cli('availability-zone', state, zone, '--store', store_address)

    def _configuration_versions(self) -> list[int]:
        return [
            http_json(child.endpoint(_HTTP), '/status')['configuration_version']
            for child in self._platform.daemons
        ]

    def _callers_status(self) -> dict[str, int]:
        status: dict[str, int] = http_json(
            self._platform.callers.endpoint(_HTTP), '/status'
        )
        return status

    def _are_long_flows_open(self) -> bool:
        flows = self._deployment.long_service.flows
        return self._callers_status()['open_flows'] >= flows

    def _are_requests_ended(self) -> bool:
        return not self._callers_status()[RequestOutcome.OPEN]

    def _imbalance(self) -> float:
        name = self._deployment.long_service.name
        flows = [
            len(http_json(server.backend.endpoint(_HTTP), '/connections')['connections'])
            for server in self._platform.servers
            if server.service == name
        ]
        return max(flows) * len(flows) / max(sum(flows), 1)

    def _journal_of(self, backend: ChildProcess) -> BackendJournal:
        journal: BackendJournal = http_json(backend.endpoint(_HTTP), '/journal')
        return journal

    def _wait_or_report(
        self, description: str, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        # A timeout does not end the demo, because the figures show the failure.
        try:
            wait_for(description, condition, timeout_s)
        except DemoError as error:
            self._report_progress(str(error))
