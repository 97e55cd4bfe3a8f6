"""Interface of the procedures by which new flows are offered to agents."""

from abc import ABC, abstractmethod
from typing import Final

from persimmonreach.core import Action
from persimmonreach.placement._pending import PendingFlow
from persimmonreach.placement.messages import FlowRefused, RefusalReason

# Covers a round trip between zones with jitter (12 ms) and the handshake of the
# backend server, with a margin for a busy agent. Shorter than the 200 ms after
# which the caller retransmits the SYN.
OFFER_TIMEOUT_S: Final = 0.07
# Delay before the next round of offers if no agent can accept the flow now.
RETRY_DELAY_S: Final = 0.04
# Reasons that may cease to apply to the same agent within the lifetime of a SYN.
TEMPORARY_REASONS: Final = frozenset(
    (
        RefusalReason.BUSY,
        RefusalReason.COLD,
        RefusalReason.DOWN,
        RefusalReason.STOPPING,
        RefusalReason.OVERLOADED,
    ),
)


class OfferProcedure(ABC):
    """Procedure by which a new flow is offered to agents until one accepts it."""

    @abstractmethod
    def start(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Offer a new flow to the first agent."""

    @abstractmethod
    def on_syn_copy(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Process the arrival of a copy of the SYN."""

    @abstractmethod
    def on_refused(
        self, pending: PendingFlow, refusal: FlowRefused, now: float
    ) -> tuple[Action, ...]:
        """Process the refusal by an agent, which may not be the current one."""

    @abstractmethod
    def on_due(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Process a timeout of an offer, or the start of the next round."""
