"""Attempts that run for other agents on the agent's own flow."""

from typing import Final, NamedTuple

from persimmonreach.core import FlowKey

# Far more than a backend server has slots, so that a displaced attempt has
# long passed its deadline.
_LARGEST_DELEGATED: Final = 4096
_MS_PER_S: Final = 1000


class Attempt(NamedTuple):
    """Attempt number ``attempt`` of a request on the caller's flow ``key``."""

    key: FlowKey
    request_id: bytes
    attempt: int


class DelegatedAttempts:
    """Numbers the attempts on the agent's own flow to the backend server.

    A request id is unique within its caller's flow only. Two callers that
    choose the same id would get each other's answers if their attempts kept
    their numbers on the one flow that carries both.
    """

    def __init__(self) -> None:
        self._last_number = 0
        self._attempts: dict[tuple[bytes, int], Attempt] = {}
        self._numbers: dict[Attempt, int] = {}

    def number(self, attempt: Attempt, now: float) -> int:
        """Return the number of ``attempt`` on the agent's own flow.

        Numbers rise with the time, so that an answer to an attempt of the
        agent's former incarnation matches none.
        """
        known = self._numbers.get(attempt)
        if known is not None:
            return known
        if len(self._numbers) >= _LARGEST_DELEGATED:
            oldest = next(iter(self._numbers))
            self._attempts.pop((oldest.request_id, self._numbers.pop(oldest)))
        self._last_number = max(self._last_number + 1, int(now * _MS_PER_S))
        self._numbers[attempt] = self._last_number
        self._attempts[attempt.request_id, self._last_number] = attempt
        return self._last_number

    def find_number(self, attempt: Attempt) -> int | None:
        """Return the number of ``attempt``, or None if it is not delegated."""
        return self._numbers.get(attempt)

    def find(self, request_id: bytes, number: int) -> Attempt | None:
        """Return the attempt with this number, or None if there is none."""
        return self._attempts.get((request_id, number))
