"""The product's routing and placement against baselines."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from persimmonreach.admission import PlacementPolicy, TwoChoices
from persimmonreach.admission._policy import RandomChoice
from persimmonreach.core import FlowKey
from persimmonreach.proof.bench_base import Figure, Measurement, Report
from persimmonreach.proof.bench_inputs import make_keys
from persimmonreach.proof.bench_routing_policies import (
    BucketTokens,
    ConsistentHashing,
    PreviousOwner,
    RoutingPolicy,
)

_SERVERS: Final = 7
_FLOWS: Final = 10_000
_CHANGES: Final = 20
_FLOWS_PER_SERVER: Final = 2000


class BrokenFlows(Measurement):
    """Flows that 20 planned changes in a row break."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'broken-flows'

    def run(self) -> Report:
        """Run the same changes under each policy."""
        policies = (BucketTokens(), ConsistentHashing(), PreviousOwner())
        figures = (
            Figure(
                f'broken flows of {_FLOWS} after {_CHANGES} changes, {policy.name}',
                count_broken(policy),
                'flows',
            )
            for policy in policies
        )
        return Report(tuple(figures))


class Imbalance(Measurement):
    """Most flows on one of 7 backend servers over their mean."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'imbalance'

    def run(self) -> Report:
        """Place the same flows in three ways."""
        keys = make_keys(_SERVERS * _FLOWS_PER_SERVER)
        hashing = ConsistentHashing()
        hashing.start(_SERVERS)
        hashing.open(keys)
        hashed = list(Counter(hashing.holders.values()).values())
        counts = {
            'two choices': _place(TwoChoices(), keys),
            'random choice': _place(RandomChoice(), keys),
            'consistent hashing': hashed,
        }
        return Report(tuple(_imbalances(counts)))


def count_broken(policy: RoutingPolicy) -> int:
    """Return how many flows did not get through after some change."""
    keys = make_keys(_FLOWS)
    policy.start(_SERVERS)
    policy.open(keys)
    working = set(keys)
    for change in range(_CHANGES):
        if change % 2:
            policy.drain()
        else:
            policy.add(_SERVERS + change)
        # A flow that failed once stays broken: its caller has seen a reset.
        working &= policy.reached(keys)
    return len(keys) - len(working)


def _place(policy: PlacementPolicy, keys: Sequence[FlowKey]) -> list[int]:
    tokens = BucketTokens(policy)
    tokens.start(_SERVERS)
    tokens.open(keys)
    return [node.router.flow_count for node in tokens.world.nodes.values()]


def _imbalances(counts: Mapping[str, list[int]]) -> Iterable[Figure]:
    for name, flows in counts.items():
        mean = sum(flows) / len(flows)
        yield Figure(f'imbalance by {name}', max(flows) / mean, 'maximum/mean')
        yield Figure(f'flows placed by {name}', sum(flows), 'flows')
