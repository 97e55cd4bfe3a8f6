"""Settings of placement, and choices that wait for an answer."""

from typing import Final, NamedTuple

from persimmonreach.admission.messages import PlaceFlow
from persimmonreach.core import AgentId
from persimmonreach.membership import Member

_DEFAULT_CONNECTIONS: Final = 2000


class PlacementSettings(NamedTuple):
    """Settings of placement.

    Attributes
    ----------
    connections
        Flows that one warm backend server bears.
    repeat_s
        Seconds without an answer after which the same member is asked again.
    verdict_lifetime_s
        Seconds for which an answer is kept for repeated messages; far longer
        than the 10 s that a copy of a packet may live.

    """

    connections: int = _DEFAULT_CONNECTIONS
    repeat_s: float = 0.3
    verdict_lifetime_s: float = 120


class Pending(NamedTuple):
    """A choice that waits for an answer.

    Attributes
    ----------
    member
        The chosen member.
    message
        Question to it, the same in each repetition.
    sent_at
        Time of the last repetition.
    refused
        Members that refused the flow before.

    """

    member: Member
    message: PlaceFlow
    sent_at: float
    refused: frozenset[AgentId]
