"""Random faults on the real processes of one deployment."""

import signal
from abc import ABC, abstractmethod
from collections.abc import Sequence
from contextlib import ExitStack
from math import inf
from random import Random
from typing import ClassVar, Final, final

import gevent

from persimmonreach.standins._capacity import ServerState
from persimmonreach.standins._deployments import Deployment
from persimmonreach.standins._journal import (
    FlowFigures,
    RequestFigures,
    flow_figures,
    request_figures,
)
from persimmonreach.standins._platform import Platform
from persimmonreach.standins._process import http_json
from persimmonreach.standins._processes import ChildProcess
from persimmonreach.standins._script import DemoScript

# Shortest and longest time between the starts of two faults. Most faults last
# longer, so that they overlap.
_FAULT_INTERVAL_S: Final = (0.2, 1.6)
_PAUSE_DURATION_S: Final = (0.1, 2.5)
# Time from the start of a backend server to the stop of its agent.
_STOP_DELAY_S: Final = (0.05, 1.5)
_SERVER_FAULT_DURATION_S: Final = (0.5, 3)
_SLOWNESS: Final = 5
_RESET_SHARE: Final = 0.4
# Time without faults at the end, within which all requests are to be served again.
_RECOVERY_S: Final = 6.0
_HTTP: Final = 'http'


class SoakFigures(RequestFigures, FlowFigures):
    """Figures of one run of the fault soak."""


class Fault(ABC):
    """A fault that is injected from outside of the processes.

    Attributes
    ----------
    group
        Kind of the target; two faults of one group do not overlap.

    """

    group: ClassVar[str]

    @abstractmethod
    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Inject the fault, wait until it is over, and return the name of its target."""


@final
class EntryKilled(Fault):
    """Kills an entry instance and starts a new one."""

    group = 'entry'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Kill an entry instance and start a new one."""
        zone = rng.choice(platform.entries)[0]
        platform.kill_entry(zone)
        platform.add_entry(zone)
        return zone


@final
class AgentKilled(Fault):
    """Kills an agent and starts a new one for its backend server."""

    group = 'agent'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Kill an agent and start a new one."""
        server = rng.choice(platform.servers)
        platform.kill_agent(server)
        return server.name


@final
class AgentStopped(Fault):
    """Stops an agent gracefully and starts a new one."""

    group = 'agent'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Stop an agent and start a new one."""
        server = rng.choice(platform.servers)
        platform.restart_agent(server)
        return server.name


@final
class ProcessPaused(Fault):
    """Pauses an entry instance or an agent for a random time by SIGSTOP."""

    group = 'process'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Pause an entry instance or an agent."""
        return _pause(rng.choice(platform.daemons), rng)


@final
class StorePaused(Fault):
    """Pauses the store for a random time by SIGSTOP."""

    group = 'store'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Pause the store."""
        return _pause(platform.store, rng)


@final
class ServerDrained(Fault):
    """Drains a backend server and starts a cold one in its availability zone."""

    group = 'server'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Drain a backend server and start another one."""
        plan = deployment.long_service
        server = rng.choice([row for row in platform.servers if row.service == plan.name])
        body = {'state': ServerState.DRAINING}
        http_json(server.backend.endpoint(_HTTP), '/state', body)
        platform.add_server(plan, server.zone, ServerState.COLD)
        return server.name


@final
class ServerPaused(Fault):
    """Pauses a backend server for a random time by SIGSTOP.

    The operating system accepts connections and packets for it all the while.
    """

    group = 'backend'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Pause a backend server."""
        return _pause(rng.choice(platform.servers).backend, rng)


@final
class ServerSlowed(Fault):
    """Slows a backend server down for a random time."""

    group = 'backend'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Slow a backend server down."""
        return _disturb(rng.choice(platform.servers).backend, rng, slowness=_SLOWNESS)


@final
class ServerFailing(Fault):
    """Lets a backend server reset flows instead of running requests.

    Its health checks succeed all the while.
    """

    group = 'backend'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Let a backend server reset a share of the flows that have a request."""
        backend = rng.choice(platform.servers).backend
        return _disturb(backend, rng, reset_share=_RESET_SHARE)


@final
class AgentOfNewServerStopped(Fault):
    """Starts a backend server and stops its agent after a random time."""

    group = 'agent'

    def inject(self, platform: Platform, deployment: Deployment, rng: Random) -> str:
        """Start a backend server, stop its agent, and start a new agent."""
        zone = rng.choice(deployment.zones)
        server = platform.add_server(deployment.long_service, zone, ServerState.WARM)
        gevent.sleep(rng.uniform(*_STOP_DELAY_S))
        platform.restart_agent(server)
        return server.name


FAULTS: Final = (
    EntryKilled(),
    AgentKilled(),
    AgentStopped(),
    ProcessPaused(),
    ProcessPaused(),
    StorePaused(),
    ServerDrained(),
    ServerPaused(),
    ServerSlowed(),
    ServerFailing(),
    AgentOfNewServerStopped(),
)


class SoakScript(DemoScript):
    """Injects random, overlapping faults into a deployment."""

    def soak(
        self, seed: int, duration_s: float, faults: Sequence[Fault] = FAULTS
    ) -> SoakFigures:
        """Run the deployment under random faults and return the figures.

        Parameters
        ----------
        seed
            Seed of the random faults.
        duration_s
            Time during which faults are injected, in seconds.
        faults
            Faults to choose from.

        Raises
        ------
        DemoError
            If a process does not start or end as expected.

        """
        rng = Random(seed)
        with ExitStack() as resources:
            resources.callback(self._processes.stop)
            self._start()
            end_at = self._clock.now() + duration_s
            running: list[gevent.Greenlet] = []
            while self._clock.now() < end_at:
                fault = rng.choice(faults)
                if not any(_overlaps(fault, other) for other in running):
                    running.append(gevent.spawn(self._inject, fault, rng))
                gevent.sleep(rng.uniform(*_FAULT_INTERVAL_S))
            gevent.joinall(running, raise_error=True)
            gevent.sleep(_RECOVERY_S)
            journals = self._collect_journals('', inf)
        return SoakFigures(**request_figures(journals), **flow_figures(journals))

    def _inject(self, fault: Fault, rng: Random) -> None:
        gevent.getcurrent().group = fault.group
        target = fault.inject(self._platform, self._deployment, rng)
        name = type(fault).__name__
        self._report_progress(f'{name}: {target}')


def _overlaps(fault: Fault, running: gevent.Greenlet) -> bool:
    """Return whether ``running`` injects a fault of the same group."""
    return not running.dead and getattr(running, 'group', None) == fault.group


def _pause(child: ChildProcess, rng: Random) -> str:
    process = child.process
    if process.poll() is None:
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(rng.uniform(*_PAUSE_DURATION_S))
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
    return child.name


def _disturb(
    backend: ChildProcess, rng: Random, *, slowness: float = 1, reset_share: float = 0
) -> str:
    endpoint = backend.endpoint(_HTTP)
    fault = {'slowness': slowness, 'reset_share': reset_share}
    http_json(endpoint, '/fault', fault)
    gevent.sleep(rng.uniform(*_SERVER_FAULT_DURATION_S))
    http_json(endpoint, '/fault', {'slowness': 1, 'reset_share': 0})
    return backend.name
