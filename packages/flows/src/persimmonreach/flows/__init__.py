"""Flow table and keepalive probes of an agent; holder cache of an entry instance."""

from persimmonreach.flows._flow_record import FlowRecord, SenderState
from persimmonreach.flows._flow_table import FlowTable
from persimmonreach.flows._holders import HolderCache
from persimmonreach.flows._observer import RequestObserver
from persimmonreach.flows._outstanding_requests import (
    MAX_REQUEST_AGE_S,
    OutstandingRequests,
)
from persimmonreach.flows._probing import FlowProber, ProbeSettings, UnresponsiveFlow

__all__ = (
    'MAX_REQUEST_AGE_S',
    'FlowProber',
    'FlowRecord',
    'FlowTable',
    'HolderCache',
    'OutstandingRequests',
    'ProbeSettings',
    'RequestObserver',
    'SenderState',
    'UnresponsiveFlow',
)
