"""Mechanisms that can be switched off to show that the matrix detects it."""

from types import MappingProxyType
from typing import Final

from persimmonreach.membership import MembershipSettings
from persimmonreach.ownership import OwnershipSettings
from persimmonreach.proof._settings import PROBING, Switches

MECHANISMS: Final = MappingProxyType(
    {
        'ownership.fencing': Switches(ownership=OwnershipSettings(fencing=False)),
        'ownership.handover': Switches(ownership=OwnershipSettings(handover=False)),
        # Each of the two finds the flows that the other one would.
        'ownership.handover and lookup': Switches(
            ownership=OwnershipSettings(handover=False, lookup=False),
        ),
        'ownership.lookup': Switches(ownership=OwnershipSettings(lookup=False)),
        'admission.slow_start': Switches(slow_start=False),
        'requests.strict_retries': Switches(strict_retries=False),
        'requests.deduplicate': Switches(deduplicate=False),
        'configuration.enforce_version_order': Switches(version_order=False),
        'flows.probing': Switches(probing=PROBING._replace(enabled=False)),
        'membership.anti_entropy': Switches(
            membership=MembershipSettings(anti_entropy=False),
        ),
        'membership.fencing': Switches(membership=MembershipSettings(fencing=False)),
    },
)
