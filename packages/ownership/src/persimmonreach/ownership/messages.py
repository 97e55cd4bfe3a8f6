"""Wire messages between the agents of one service about tokens and flows."""

from enum import IntEnum
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, BucketId, FlowKey, Incarnation, ServiceId


class Sender(NamedTuple):
    """Agent that sent a message.

    Attributes
    ----------
    agent
        Id of the agent.
    incarnation
        Its incarnation when it sent the message.
    service
        Service of its backend server.

    """

    agent: AgentId
    incarnation: Incarnation
    service: ServiceId


class BucketStatus(IntEnum):
    """What a member knows of the token of a bucket."""

    NONE = 0
    HELD = 1
    BUSY = 2


class BucketAnswer(NamedTuple):
    """Status of one bucket, and the highest epoch that the member has seen."""

    bucket: BucketId
    status: BucketStatus
    epoch: int


class HeldFlow(NamedTuple):
    """A flow and the agent that holds it."""

    key: FlowKey
    holder: AgentId


class RecentFlow(NamedTuple):
    """A flow whose first packet must not be admitted again for a while.

    Attributes
    ----------
    key
        The flow.
    sequence
        Sequence number of the first packet; -1 matches every first packet.
    remaining_ms
        Time left, in milliseconds.

    """

    key: FlowKey
    sequence: int
    remaining_ms: int


class ClaimBuckets(NamedTuple):
    """The sender asks for the tokens of ``buckets``."""

    sender: Sender
    nonce: int
    buckets: tuple[BucketId, ...]


class ClaimAnswer(NamedTuple):
    """One part of the answer to a claim; whole with all ``parts``."""

    sender: Sender
    nonce: int
    part: int
    parts: int
    answers: tuple[BucketAnswer, ...]
    flows: tuple[HeldFlow, ...]
    recent: tuple[RecentFlow, ...]


class GrantBucket(NamedTuple):
    """One part of a grant; the token passes with all ``parts``."""

    sender: Sender
    nonce: int
    bucket: BucketId
    epoch: int
    part: int
    parts: int
    flows: tuple[HeldFlow, ...]
    recent: tuple[RecentFlow, ...]


class GrantAccepted(NamedTuple):
    """The claimant has the token."""

    sender: Sender
    nonce: int
    bucket: BucketId


class GrantRefused(NamedTuple):
    """The claim of the grant is no longer open."""

    sender: Sender
    nonce: int
    bucket: BucketId


class OfferBucket(NamedTuple):
    """The sender holds tokens that the receiver should claim."""

    sender: Sender
    buckets: tuple[BucketId, ...]


class FindFlow(NamedTuple):
    """The sender asks whether the receiver holds the flow."""

    sender: Sender
    nonce: int
    key: FlowKey


class FlowFound(NamedTuple):
    """Answer to :class:`FindFlow`; ``found`` is False if it is missing."""

    sender: Sender
    nonce: int
    key: FlowKey
    found: bool


class FlowMissing(NamedTuple):
    """The sender received a forwarded packet of a flow it does not hold."""

    sender: Sender
    key: FlowKey


class AnnounceFlows(NamedTuple):
    """Flows that the owner may not have on record."""

    sender: Sender
    flows: tuple[HeldFlow, ...]


class FlowsRecorded(NamedTuple):
    """The owner has settled these announced flows."""

    sender: Sender
    keys: tuple[FlowKey, ...]


class FlowForgotten(NamedTuple):
    """Flows of the sender that have ended."""

    sender: Sender
    keys: tuple[FlowKey, ...]


class FlowConflict(NamedTuple):
    """Another agent holds this flow; the receiver ends its own."""

    sender: Sender
    key: FlowKey
    holder: AgentId


MESSAGE_TYPES: Final = MappingProxyType(
    {
        40: ClaimBuckets,
        41: ClaimAnswer,
        42: GrantBucket,
        43: GrantAccepted,
        44: GrantRefused,
        45: OfferBucket,
        46: FindFlow,
        47: FlowFound,
        48: FlowMissing,
        49: AnnounceFlows,
        50: FlowsRecorded,
        51: FlowForgotten,
        52: FlowConflict,
    },
)
