"""In-memory store with simulated faults, for tests."""

from collections.abc import Callable

from persimmonreach.core import Clock
from persimmonreach.standins.store_state import (
    FaultInjector,
    Faults,
    StoreState,
    Write,
)
from persimmonreach.store import (
    Changes,
    KeyValue,
    Listing,
    Store,
)


class FakeStore(Store):
    """In-memory store whose watches return at once.

    Parameters
    ----------
    clock
        Clock of the leases.
    state
        State of the store; several instances may share one.

    """

    def __init__(self, clock: Clock, state: StoreState | None = None) -> None:
        self._clock = clock
        self._state = state or StoreState()
        self._fault_injector = FaultInjector()
        self._call_names: list[str] = []
        self._call_hook: Callable[[str], None] | None = None

    @property
    def state(self) -> StoreState:
        """State of the store."""
        return self._state

    @property
    def call_count(self) -> int:
        """Number of calls so far."""
        return self._fault_injector.call_count

    @property
    def call_names(self) -> list[str]:
        """Names of the calls so far, in order."""
        return self._call_names

    @property
    def write_count(self) -> int:
        """Number of writes since the faults were set."""
        return self._fault_injector.write_count

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults."""
        self._fault_injector.set_faults(faults)

    def set_call_hook(self, hook: Callable[[str], None] | None) -> None:
        """Set a function that gets the name of each call before it; None for none."""
        self._call_hook = hook

    def get(self, key: str) -> KeyValue | None:
        """Return a key with its value; None if it does not exist."""
        self._enter('get')
        return self._state.get(key, self._clock.now())

    def list_prefix(self, prefix: str, *, may_be_stale: bool = False) -> Listing:
        """Return all keys that start with ``prefix``, ordered by name."""
        self._enter('list')
        return self._state.list_prefix(prefix, self._clock.now())

    def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> int:
        """Write a key and return its revision."""
        self._enter('put')
        now = self._clock.now()
        write = Write(key, value, lease_id)
        revision = self._state.commit([(key, expected_revision)], [write], [], now)
        self._fault_injector.after_write()
        return revision

    def delete(self, key: str) -> None:
        """Delete a key; does nothing if it does not exist."""
        self._enter('delete')
        self._state.commit([], [], [key], self._clock.now())
        self._fault_injector.after_write()

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease that lasts ``ttl_s`` seconds unless renewed."""
        self._enter('grant')
        lease_id = self._state.grant_lease(ttl_s, self._clock.now())
        self._fault_injector.after_write()
        return lease_id

    def keep_alive(self, lease_id: int) -> None:
        """Renew a lease."""
        self._enter('keep')
        self._state.keep_alive(lease_id, self._clock.now())

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self._enter('end')
        self._state.end_lease(lease_id, self._clock.now())

    def watch(self, prefix: str, after_revision: int, timeout_s: float) -> Changes:
        """Return the changes after a revision without waiting."""
        self._enter('watch')
        return self._state.changes(prefix, after_revision, self._clock.now())

    def _enter(self, call: str) -> None:
        self._call_names.append(call)
        if self._call_hook is not None:
            self._call_hook(call)
        self._fault_injector.before_call()
