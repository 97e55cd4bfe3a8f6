"""All cases of the matrix, and the fixed subset for CI."""

from itertools import cycle
from typing import Final

from persimmonreach.proof._case import Case
from persimmonreach.proof._platform_faults import FAULTS
from persimmonreach.proof._steps import STEPS

# Pairs of which each fault weakens what protects against the other.
PAIRS: Final = (
    ('agent_dies', 'updates_lost'),
    ('agent_dies', 'store_down'),
    ('agent_pauses', 'agent_restarts'),
    ('agent_restarts', 'updates_late'),
    ('entry_dies', 'agent_restarts'),
    ('entry_dies', 'store_down'),
    ('store_down', 'zone_out'),
    ('server_drains', 'agent_dies'),
    ('updates_reordered', 'agent_pauses'),
    ('zone_out', 'server_cold'),
)
# Cases that show a mechanism to be needed: each fails without one of them.
_TELLING: Final = (
    ('zone_away', 'server_cold'),
    ('request_running', 'server_cold'),
    ('handover_begun', 'server_cold'),
    ('zone_away', 'agent_pauses'),
    ('handover_granted', 'agent_pauses'),
    ('flow_established', 'regions_apart'),
    ('server_draining', 'regions_apart'),
    ('server_draining', 'agent_dies'),
    ('zone_leaving', 'entry_lapses'),
    ('publish_written', 'entry_lapses'),
)


def all_cases() -> tuple[Case, ...]:
    """Return each fault at each step alone and twice, and the pairs."""
    faults = [
        *((fault,) for fault in FAULTS),
        *((fault, fault) for fault in FAULTS),
        *PAIRS,
    ]
    return tuple(Case(step, chosen) for chosen in faults for step in STEPS)


def subset() -> tuple[Case, ...]:
    """Return a fixed subset for CI in which each fault and each step occurs."""
    steps = cycle(STEPS)
    cases = [Case(step, (fault,)) for fault, step in zip(FAULTS, steps, strict=False)]
    telling = [Case(step, (fault,)) for step, fault in _TELLING]
    return tuple(dict.fromkeys((*cases, *telling)))
