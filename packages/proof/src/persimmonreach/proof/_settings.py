"""Time constants and switches of the fault matrix."""

from typing import Final, NamedTuple

from persimmonreach.flows import ProbeSettings
from persimmonreach.membership import MembershipSettings
from persimmonreach.ownership import OwnershipSettings

TICK_S: Final = 0.1
# Bounds of the promises, in seconds; those of the design page.
WITHDRAWN_S: Final = 5
IN_FORCE_S: Final = 12
RECOVERY_S: Final = 10
# Probing starts after 25 s instead of 30 s, so that a case is shorter. The
# interval stays: its 3 probes have to outlast the fence of a lost owner.
_IDLE_S: Final = 25
_INTERVAL_S: Final = 5
PROBING: Final = ProbeSettings(_IDLE_S, _INTERVAL_S, probes=3)
SILENT_S: Final = PROBING.idle_s + PROBING.interval_s * PROBING.probes
# A backend server that turns cold is read within one poll of 0.25 s; requests
# handed over before the agent has read it are not counted as overload.
COLD_NOTICE_S: Final = 0.5


class Switches(NamedTuple):
    """Settings of the decisions, so that each mechanism can be switched off.

    Attributes
    ----------
    membership, ownership, probing
        Settings of the slices.
    slow_start
        Whether a cold backend server starts at the floor.
    strict_retries, deduplicate
        Mechanisms of requests.
    version_order
        Whether older configuration is refused.

    """

    membership: MembershipSettings = MembershipSettings()
    ownership: OwnershipSettings = OwnershipSettings()
    probing: ProbeSettings = PROBING
    slow_start: bool = True
    strict_retries: bool = True
    deduplicate: bool = True
    version_order: bool = True


NORMAL: Final = Switches()
