"""Events and actions of membership besides views and leases."""

from typing import NamedTuple

from persimmonreach.core import Endpoint
from persimmonreach.membership._view import MemberState


class StateAnnounced(NamedTuple):
    """The agent enters a state that its registrars have to know."""

    state: MemberState


class FlowsCounted(NamedTuple):
    """Flows at the local backend server, and their limit."""

    flows: int
    limit: int


class ReportLoad(NamedTuple):
    """Send a load report to these members; once a heartbeat."""

    endpoints: tuple[Endpoint, ...]
