"""All cases of the matrix, and the fixed subset for CI."""

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
# Cases for CI; each step and each fault occurs.
_SUBSET_STEPS: Final = tuple(STEPS)


def all_cases() -> tuple[Case, ...]:
    """Return each fault at each step alone and twice, and the pairs."""
    faults = [
        *((fault,) for fault in FAULTS),
        *((fault, fault) for fault in FAULTS),
        *PAIRS,
    ]
    return tuple(Case(step, chosen) for chosen in faults for step in STEPS)


def subset() -> tuple[Case, ...]:
    """Return a fixed subset in which each fault and each step occurs."""
    cases = [
        Case(_SUBSET_STEPS[number % len(_SUBSET_STEPS)], (fault,))
        for number, fault in enumerate(FAULTS)
    ]
    return tuple(cases)
