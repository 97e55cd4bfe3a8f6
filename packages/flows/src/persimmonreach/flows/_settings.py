"""Time limits of probing."""

from typing import NamedTuple


class ProbeSettings(NamedTuple):
    """When a silent flow is probed and ended.

    Attributes
    ----------
    idle_s
        Seconds without a packet from one end before that end is probed.
    interval_s
        Seconds between two probes.
    probes
        Unanswered probes after which the flow is ended. 29 s and 3 probes 5 s
        apart, looked for twice a second, end a dead flow within 45 s.
    enabled
        False turns probing off; for measurements only.

    """

    idle_s: float = 29
    interval_s: float = 5
    probes: int = 3
    enabled: bool = True
