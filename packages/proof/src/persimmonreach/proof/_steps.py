"""Points in procedures at which a fault is injected."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import FlowKey
from persimmonreach.proof._world import COUNTER, ZONES, World

_LIMIT_S: Final = 12
_LEAVING: Final = ZONES[2]
_JOINER: Final = 'a9'
# One poll of the backend server, and longer than the bound of withdrawal.
_NOTICED_S: Final = 0.3
_AWAY_S: Final = 5.5


class Target(NamedTuple):
    """What the procedure involves and the fault strikes."""

    agent: str
    key: FlowKey


class StepError(Exception):
    """A procedure did not reach its step without any fault."""


class Step(ABC):
    """One point in one procedure."""

    @abstractmethod
    def reach(self, world: World) -> Target:
        """Run the procedure until the point is reached.

        Raises
        ------
        StepError
            If it is not reached.

        """


class FlowStep(Step):
    """Point in the life of a flow or of its first request.

    Parameters
    ----------
    is_reached
        Whether the point is reached.
    is_fine
        Whether the point lies between two ticks.

    """

    def __init__(
        self,
        is_reached: Callable[[World, FlowKey], bool],
        *,
        is_fine: bool = False,
    ) -> None:
        self._is_reached = is_reached
        self._is_fine = is_fine

    def reach(self, world: World) -> Target:
        """Open a flow and wait for the point."""
        key = world.callers.open(COUNTER, 1, single=False)
        wait = world.creep_until if self._is_fine else world.run_until
        if not wait(lambda: self._is_reached(world, key), _LIMIT_S):
            raise StepError('flow step')
        holders = world.journal.holders.get(key)
        agent = holders[0] if holders else world.entries['e1'].router.explain(key).agent
        return Target(agent or 'a1', key)


class HandoverStep(Step):
    """Point in a bucket handover to an agent that joins.

    Parameters
    ----------
    message
        Type of the message that is in flight at the point.

    """

    def __init__(self, message: str) -> None:
        self._message = message

    def reach(self, world: World) -> Target:
        """Start an agent and wait for the message."""
        before = world.network.sent[self._message]
        world.add_agent(_JOINER, ZONES[1])
        sent = world.network.sent
        if not world.creep_until(lambda: sent[self._message] > before, _LIMIT_S):
            raise StepError(self._message)
        sender = world.network.senders[self._message]
        agent = next(
            node.name for node in world.agents.values() if node.endpoint == sender
        )
        return Target(agent, world.quiet_key)


class PublishStep(Step):
    """Point in the spreading of a published version.

    Parameters
    ----------
    names
        Returns the nodes of which one has to have the version.

    """

    def __init__(self, names: Callable[[World], tuple[str, ...]]) -> None:
        self._names = names

    def reach(self, world: World) -> Target:
        """Publish and wait until one of the nodes has the version."""
        world.publish()
        version = world.accepted[-1][0]
        names = self._names(world)
        nodes = [node for node in world.nodes if node.name in names]
        if nodes and not world.creep_until(
            lambda: any(node.configuration.version >= version for node in nodes),
            _LIMIT_S,
        ):
            raise StepError('publish')
        return Target('a1', world.quiet_key)


class ZoneStep(Step):
    """Point while an availability zone is taken out of service and back.

    Parameters
    ----------
    away_s
        Seconds out of service before the point.
    returns
        Whether the zone is put back in service at the point.
    agent
        Agent that the fault strikes.

    """

    def __init__(self, away_s: float, agent: str, *, returns: bool = False) -> None:
        self._away_s = away_s
        self._returns = returns
        self._agent = agent

    def reach(self, world: World) -> Target:
        """Take the zone out and wait."""
        world.set_zone(_LEAVING, True)
        world.run(self._away_s)
        if self._returns:
            world.set_zone(_LEAVING, False)
        return Target(self._agent, world.quiet_key)


class DrainStep(Step):
    """A backend server has started to drain."""

    def reach(self, world: World) -> Target:
        """Drain and wait until the agent has read it."""
        world.agents['a2'].server.drain()
        world.run(_NOTICED_S)
        return Target('a2', world.quiet_key)


class JoinStep(Step):
    """An agent has sent its first heartbeat."""

    def reach(self, world: World) -> Target:
        """Start an agent and wait for its first heartbeat."""
        node = world.add_agent(_JOINER, ZONES[1])
        if not world.creep_until(lambda: node.router is not None, _LIMIT_S):
            raise StepError('join')
        return Target(_JOINER, world.quiet_key)


def _is_opening(world: World, key: FlowKey) -> bool:
    return True


def _is_established(world: World, key: FlowKey) -> bool:
    return world.callers.flows[key].is_open


def _requests_of(world: World, key: FlowKey) -> list[bytes]:
    rows = world.callers.requests.items()
    return [request_id for request_id, row in rows if row.key == key]


def _is_sent(world: World, key: FlowKey) -> bool:
    return bool(_requests_of(world, key))


def _is_running(world: World, key: FlowKey) -> bool:
    journal = world.journal
    return any(
        journal.runs.get(request_id) and request_id not in journal.answered
        for request_id in _requests_of(world, key)
    )


def _is_answered(world: World, key: FlowKey) -> bool:
    return any(
        request_id in world.journal.answered for request_id in _requests_of(world, key)
    )


def _nobody(world: World) -> tuple[str, ...]:
    return ()


def _entries(world: World) -> tuple[str, ...]:
    return tuple(world.entries)


def _agents(world: World) -> tuple[str, ...]:
    return tuple(world.agents)


STEPS: Final[Mapping[str, Step]] = MappingProxyType(
    {
        'flow_opening': FlowStep(_is_opening),
        'flow_established': FlowStep(_is_established),
        'request_sent': FlowStep(_is_sent),
        'request_running': FlowStep(_is_running, is_fine=True),
        'request_answered': FlowStep(_is_answered, is_fine=True),
        'handover_begun': HandoverStep('ClaimBuckets'),
        'handover_granted': HandoverStep('GrantBucket'),
        'handover_taken': HandoverStep('GrantAccepted'),
        'publish_written': PublishStep(_nobody),
        'publish_read': PublishStep(_entries),
        'publish_relayed': PublishStep(_agents),
        'zone_leaving': ZoneStep(0, 'a3'),
        'zone_away': ZoneStep(_AWAY_S, 'a1'),
        'zone_returning': ZoneStep(3, 'a3', returns=True),
        'server_draining': DrainStep(),
        'agent_joining': JoinStep(),
    },
)
