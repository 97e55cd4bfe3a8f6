"""Requests that wait until the records of a predecessor are known."""

from typing import Final, NamedTuple

from persimmonreach.core import FlowKey
from persimmonreach.packets import RequestFrame
from persimmonreach.requests._events import RequestArrived
from persimmonreach.requests._records import RecordId

_MS_PER_S: Final = 1000
# Time kept for the way of the reply to the caller. The way of the request is
# not known and counts as the same, so a request is held for half of its time.
_REPLY_MS: Final = 500
_LONGEST_SHARE: Final = 0.5
_LARGEST_HELD: Final = 1024


class _Held(NamedTuple):
    event: RequestArrived
    since: float


class HeldRequests:
    """Requests that have neither run nor been refused yet."""

    def __init__(self) -> None:
        self._held: dict[RecordId, _Held] = {}

    def hold(self, event: RequestArrived, now: float) -> bool:
        """Keep a request and return whether there was room and time."""
        name = RecordId(event.key, event.frame.request_id)
        if name in self._held:
            return True
        is_late = event.frame.deadline_ms <= _REPLY_MS
        if is_late or len(self._held) >= _LARGEST_HELD:
            return False
        self._held[name] = _Held(event, now)
        return True

    def release(self, key: FlowKey) -> None:
        """Forget the requests of a flow that has ended."""
        for name in tuple(self._held):
            if name.key == key:
                self._held.pop(name)

    def take(self, now: float, *, is_known: bool) -> list[RequestArrived]:
        """Return the requests that have to be decided now.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        is_known
            Whether nothing has to be waited for any more.

        """
        taken = []
        for name, held in tuple(self._held.items()):
            frame = _remaining(held, now)
            longest_ms = held.event.frame.deadline_ms * _LONGEST_SHARE
            if is_known or frame.deadline_ms <= max(_REPLY_MS, longest_ms):
                self._held.pop(name)
                taken.append(held.event._replace(frame=frame))
        return taken


def _remaining(held: _Held, now: float) -> RequestFrame:
    frame = held.event.frame
    waited_ms = int((now - held.since) * _MS_PER_S)
    return frame._replace(deadline_ms=max(frame.deadline_ms - waited_ms, 0))
