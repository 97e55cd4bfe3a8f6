"""Heartbeats, admission leases, service views and anti-entropy."""

from persimmonreach.membership._agent import AgentMembership
from persimmonreach.membership._entry import EntryMembership
from persimmonreach.membership._events import (
    FlowsCounted,
    ReportLoad,
    StateAnnounced,
)
from persimmonreach.membership._registrars import choose_registrars
from persimmonreach.membership._settings import MembershipSettings, check_settings
from persimmonreach.membership._view import (
    LeaseLapsed,
    LeaseRenewed,
    Member,
    MemberState,
    View,
    ViewChanged,
    ViewConfirmed,
)

__all__ = (
    'AgentMembership',
    'EntryMembership',
    'FlowsCounted',
    'LeaseLapsed',
    'LeaseRenewed',
    'Member',
    'MemberState',
    'MembershipSettings',
    'ReportLoad',
    'StateAnnounced',
    'View',
    'ViewChanged',
    'ViewConfirmed',
    'check_settings',
    'choose_registrars',
)
