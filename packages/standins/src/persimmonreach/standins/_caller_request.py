"""One request of a caller: retransmission, response and outcome."""

import random
from typing import Final, NamedTuple

from persimmonreach.standins._caller_journal import RequestOutcome
from persimmonreach.standins._frame_types import ErrorFrame, RequestFrame, ResponseFrame
from persimmonreach.standins._responses import request_body, response_body

RETRANSMIT_PERIOD_S: Final = 0.25
# A response sent at the deadline may be lost and retransmitted once or twice.
RESPONSE_GRACE_S: Final = 1.0
ID_BYTES: Final = 16
_CONTENT_BYTES: Final = 24
_MS_PER_S: Final = 1000


class RequestSettings(NamedTuple):
    """Properties that a request shares with its retries under other ids."""

    operation_id: bytes
    idempotent: bool
    deadline_at: float
    response_bytes: int


class CallerRequest:
    """State of one request id, from its first transmission to its outcome.

    Parameters
    ----------
    settings
        Properties of the request.
    rng
        Source of the request id and the content.

    """

    def __init__(self, settings: RequestSettings, rng: random.Random) -> None:
        self.settings = settings
        self.request_id = rng.randbytes(ID_BYTES)
        self._body = request_body(settings.response_bytes, rng.randbytes(_CONTENT_BYTES))
        self._parts: dict[int, dict[int, bytes]] = {}
        self._sent_at = float('-inf')

    def due_frame(self, now: float) -> RequestFrame | None:
        """Return the frame to send if a transmission is due, else None."""
        if now < self._sent_at + RETRANSMIT_PERIOD_S:
            return None
        self._sent_at = now
        remaining_ms = max(int((self.settings.deadline_at - now) * _MS_PER_S), 0)
        return RequestFrame(
            self.request_id, 0, self.settings.idempotent, remaining_ms, self._body
        )

    def is_timed_out(self, now: float) -> bool:
        """Return whether the deadline and the grace time after it have passed."""
        return now >= self.settings.deadline_at + RESPONSE_GRACE_S

    def outcome_of(self, frame: ResponseFrame | ErrorFrame) -> RequestOutcome | None:
        """Return the outcome if ``frame`` completes the request, else None."""
        if frame.request_id != self.request_id:
            return None
        if isinstance(frame, ErrorFrame):
            return RequestOutcome(frame.outcome.value)
        parts = self._parts.setdefault(frame.attempt, {})
        parts[frame.part] = frame.body
        if len(parts) < frame.parts:
            return None
        response = b''.join(parts[number] for number in sorted(parts))
        if response == response_body(self.request_id, self._body):
            return RequestOutcome.ANSWERED
        return RequestOutcome.WRONG
