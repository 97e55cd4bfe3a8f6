"""Interface for reading rules from one layout of keys in the store."""

from abc import ABC, abstractmethod

from persimmonreach.rules._model import RulesDelta, RulesSnapshot
from persimmonreach.store import Changes, Store


class RulesSource(ABC):
    """Reader of the rules in one layout of keys in the store."""

    @property
    @abstractmethod
    def prefix(self) -> str:
        """Common prefix of the keys to watch."""

    @abstractmethod
    def read(self, store: Store) -> RulesSnapshot:
        """Read all rules from the store.

        Raises
        ------
        StoreError
            If a call to the store fails.

        """

    @abstractmethod
    def read_changes(self, store: Store, changes: Changes) -> RulesSnapshot | RulesDelta:
        """Convert the result of a watch into an event.

        A layout whose changed keys do not hold the complete change may read
        the store again and return a snapshot instead of a delta.

        Raises
        ------
        StoreError
            If the store has to be read again and a call to it fails.

        """
