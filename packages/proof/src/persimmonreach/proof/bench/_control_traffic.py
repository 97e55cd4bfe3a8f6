"""Control messages between availability zones, by kind and phase."""

from collections import Counter
from collections.abc import Iterator
from typing import Any, Final, final

from persimmonreach.process import MESSAGE_TYPES
from persimmonreach.proof.bench._measurement import Measurement, MeasurementGroup
from persimmonreach.proof.simulation import Deployment, DeploymentPlan
from persimmonreach.runtime import PlainCodec

ZONES: Final = ('a', 'b', 'c', 'd', 'e')
# The deployment with 195 instances has 59 entry instances and 136 agents.
AGENTS_PER_ENTRY: Final = 2.3
START_PHASE_S: Final = 5.0
STEADY_PHASE_S: Final = 5.0
# IPv4 and UDP headers.
_HEADER_BYTES: Final = 28
_DESIGN_ENTRY_COUNT: Final = 760
_STATUS_KINDS: Final = ('AgentStatus', 'EntryStatus', 'PeerStatus')


@final
class ControlTraffic(MeasurementGroup):
    """Bytes between zones for each entry instance, by the number of these.

    Flows are not part of it: no caller sends packets. Amounts beyond the largest
    measured size are extrapolated.
    """

    name = 'control-traffic'
    _sizes = (10, 20, 40)

    def measure(self) -> Iterator[Measurement]:
        """Yield the bytes of the first seconds, and those of a second after them."""
        plays = [_play(size) for size in self._sizes]
        for title, unit, amounts in (
            ('members while all start', 'bytes', [play[0] for play in plays]),
            ('statuses while all start', 'bytes', [play[1] for play in plays]),
            ('statuses afterwards', 'bytes a second', [play[2] for play in plays]),
        ):
            yield Measurement(
                f'{title}, for each entry instance',
                unit,
                'entry instances',
                self._sizes,
                tuple(amounts),
                _DESIGN_ENTRY_COUNT,
            )


def _play(entry_count: int) -> tuple[float, float, float]:
    """Return the bytes of members and statuses at the start, and of statuses later."""
    plan = DeploymentPlan(
        zones=ZONES,
        entries_per_zone=entry_count // len(ZONES),
        agent_count=int(entry_count * AGENTS_PER_ENTRY),
    )
    deployment = Deployment(1, plan)
    counter = _ByteCounter()
    deployment.network.observe_cross_zone_message = counter.count
    deployment.start()
    deployment.run_for(START_PHASE_S)
    member_bytes = counter.member_bytes
    start_bytes = counter.status_bytes
    deployment.run_for(STEADY_PHASE_S)
    later_bytes = counter.status_bytes - start_bytes
    return (
        member_bytes / entry_count,
        start_bytes / entry_count,
        later_bytes / entry_count / STEADY_PHASE_S,
    )


class _ByteCounter:
    """Counts the bytes of the messages of each kind, with the headers of datagrams."""

    def __init__(self) -> None:
        self._codec = PlainCodec(MESSAGE_TYPES)
        self._sent_bytes: Counter[str] = Counter()

    @property
    def member_bytes(self) -> int:
        """Bytes of the messages with members of an entry instance."""
        return self._sent_bytes['PeerMembership']

    @property
    def status_bytes(self) -> int:
        """Bytes of the statuses of agents and entry instances."""
        return sum(self._sent_bytes[kind] for kind in _STATUS_KINDS)

    def count(self, message: Any) -> None:
        """Count a message."""
        size_bytes = len(self._codec.encode(message)) + _HEADER_BYTES
        self._sent_bytes[type(message).__name__] += size_bytes
