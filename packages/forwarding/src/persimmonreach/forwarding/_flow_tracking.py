"""Flow table of an agent, and what observes its flows."""

from typing import Final, NamedTuple

from persimmonreach.flows import FlowProber, FlowTable, ProbeSettings
from persimmonreach.load import LoadMeter
from persimmonreach.outliers import FailureEvidence
from persimmonreach.packets import PacketFormat

# Maximum lifetime of a flow; a flow without a packet for this time has ended.
_FLOW_RETENTION_S: Final = 60


class FlowTracking(NamedTuple):
    """Flow table of an agent, and what observes its flows.

    Attributes
    ----------
    flows
        Flows of the backend server.
    prober
        Prober of idle flows.
    meter
        Meter of the load, which observes the requests.
    evidence
        Watches for requests and SYNs that get no response.

    """

    flows: FlowTable
    prober: FlowProber
    meter: LoadMeter
    evidence: FailureEvidence


def track_flows(probing: ProbeSettings, packet_format: PacketFormat) -> FlowTracking:
    """Return an empty flow table with its observers."""
    meter = LoadMeter()
    evidence = FailureEvidence(meter)
    flows = FlowTable(_FLOW_RETENTION_S, evidence)
    return FlowTracking(flows, FlowProber(probing, packet_format), meter, evidence)
