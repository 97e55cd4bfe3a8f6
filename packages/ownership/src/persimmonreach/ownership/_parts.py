"""The parts that make up bucket ownership."""

import random
from typing import NamedTuple

from persimmonreach.core import AgentId, Pauses, ServiceId
from persimmonreach.flows import LocalFlows
from persimmonreach.ownership._answers import Answers
from persimmonreach.ownership._claims import Claims
from persimmonreach.ownership._directory import Directory
from persimmonreach.ownership._handover import Handover
from persimmonreach.ownership._lookup import Lookups
from persimmonreach.ownership._peers import Peers
from persimmonreach.ownership._records import Records
from persimmonreach.ownership._settings import OwnershipSettings
from persimmonreach.ownership._tokens import Tokens
from persimmonreach.ownership._waiting import WaitingPackets


class Parts(NamedTuple):
    """Parts of one agent's bucket ownership, which share their state."""

    peers: Peers
    directory: Directory
    tokens: Tokens
    handover: Handover
    claims: Claims
    answers: Answers
    lookups: Lookups
    records: Records
    waiting: WaitingPackets
    pauses: Pauses


def build_parts(
    identity: tuple[AgentId, ServiceId],
    settings: OwnershipSettings,
    flows: LocalFlows,
    rng: random.Random,
) -> Parts:
    """Return connected parts without any state."""
    peers = Peers(*identity, settings)
    directory = Directory()
    tokens = Tokens(peers, directory)
    return Parts(
        peers,
        directory,
        tokens,
        Handover(peers, directory, tokens, flows),
        Claims(peers, directory, tokens, rng),
        Answers(peers, directory, tokens, flows),
        Lookups(peers, directory, tokens, flows, rng),
        Records(peers, directory, tokens, flows),
        WaitingPackets(settings.queue_per_bucket, settings.claim_lifetime),
        Pauses(settings.pause_limit, settings.pause_drain),
    )
