"""Queue of new flows for admission to a backend server."""

from persimmonreach.queueing._model import (
    MAX_OCCUPYING_PER_SLOT,
    ClassRank,
    OfferDecision,
    OfferVerdict,
    ServerCapacity,
    WaitingFlow,
)
from persimmonreach.queueing._queue import MAX_WAITING_FLOWS, AdmissionQueue
from persimmonreach.queueing.messages import (
    ClassedOffer,
    FlowDeferred,
    FlowQueued,
    OfferedClass,
    OfferWithdrawn,
)

__all__ = (
    'MAX_OCCUPYING_PER_SLOT',
    'MAX_WAITING_FLOWS',
    'AdmissionQueue',
    'ClassRank',
    'ClassedOffer',
    'FlowDeferred',
    'FlowQueued',
    'OfferDecision',
    'OfferVerdict',
    'OfferWithdrawn',
    'OfferedClass',
    'ServerCapacity',
    'WaitingFlow',
)
