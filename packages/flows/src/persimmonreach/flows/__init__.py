"""Flows of a backend server, and holders of flows at an entry instance."""

from persimmonreach.flows._held import HeldFlows
from persimmonreach.flows._holders import HolderTable
from persimmonreach.flows._probing import FlowProber, ProbeSettings, SilentFlow
from persimmonreach.flows._progress import RequestProgress
from persimmonreach.flows._record import FlowEnd, HeldFlow

__all__ = (
    'FlowEnd',
    'FlowProber',
    'HeldFlow',
    'HeldFlows',
    'HolderTable',
    'ProbeSettings',
    'RequestProgress',
    'SilentFlow',
)
