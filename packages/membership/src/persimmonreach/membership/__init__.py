"""Heartbeats, admission leases, service views and anti-entropy."""

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
    'LeaseLapsed',
    'LeaseRenewed',
    'Member',
    'MemberState',
    'View',
    'ViewChanged',
    'ViewConfirmed',
)
