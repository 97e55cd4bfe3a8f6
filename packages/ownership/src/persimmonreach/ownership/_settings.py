"""Time limits and sizes of bucket ownership."""

from typing import NamedTuple


class OwnershipSettings(NamedTuple):
    """Time limits in seconds, sizes, and switches for tests and benches.

    Attributes
    ----------
    claim_lifetime
        Time after which a claim is void, and with it every grant for it.
    claim_block
        Time for which a member that answered ``NONE`` makes no claim itself;
        longer than ``claim_lifetime``, so that the answers of one claim form
        a consistent cut.
    grant_lifetime
        Time after which an unanswered grant is given up; longer than
        ``claim_lifetime``, so that the claimant can no longer accept it.
    retry_interval
        Time between two transmissions of a message.
    claim_delay
        Time between a new view and a claim that no owner asked for. A claim
        that reaches an owner with an older view is not granted, and until
        the next one other members refuse that owner's placements.
    claim_pause
        Largest random pause before the next claim.
    placement_limit
        Longest wait of a handover for a placement that is not settled.
    copy_lifetime
        Time for which the network may deliver copies of a packet.
    regeneration_wait
        Time after a member died or restarted before a token is created, since
        copies of first packets that this member admitted may still arrive.
        With a fence 1 s longer than the lease, copies up to 5 s old are
        covered; longer waits would exceed the 10 s for admitting again.
    pause_limit
        Time without any event, ticks included, after which the process is
        taken to have been paused.
    pause_drain
        Time after a pause during which first packets are dropped, as they
        may have waited in a socket for longer than copies live elsewhere.
    adoption_grace
        Time after a member died or restarted during which no lookup ends in a reset,
        because a restarted agent may still adopt the flow, and a member that seems
        dead may only be out of contact. With a fence of 8 s the callers of a backend
        server that did die are reset within 45 s, as those of silent flows.
    reset_memory
        Time for which packets of a flow that ended with its availability zone
        are answered with a reset; longer than the idle time of a quiet caller.
    lookup_tries
        Transmissions of one lookup.
    lookups_per_second
        Limit on new lookups.
    queue_per_bucket
        First packets that wait for a token.
    queue_per_flow
        Packets that wait for a lookup.
    announce_tries
        Transmissions of an announcement that is not acknowledged.
    fencing
        Whether the admission lease is checked; False only in tests.
    handover
        Whether grants and answers carry flows; False only in tests.
    lookup
        Whether unknown flows are looked up; False only in tests.

    """

    claim_lifetime: float = 2.0
    claim_block: float = 3.0
    grant_lifetime: float = 3.0
    retry_interval: float = 0.5
    claim_delay: float = 0.5
    claim_pause: float = 0.3
    placement_limit: float = 5.0
    copy_lifetime: float = 10.0
    regeneration_wait: float = 4.0
    pause_limit: float = 1.0
    pause_drain: float = 0.5
    adoption_grace: float = 30.0
    reset_memory: float = 60.0
    lookup_tries: int = 3
    lookups_per_second: int = 200
    queue_per_bucket: int = 64
    queue_per_flow: int = 4
    announce_tries: int = 30
    fencing: bool = True
    handover: bool = True
    lookup: bool = True
