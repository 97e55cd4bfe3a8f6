"""Reader of the configuration in the store."""

from typing import Final

from persimmonreach.configuration._head import HEAD_KEY, SERVICES_PREFIX, Head
from persimmonreach.configuration._model import ServiceConfig
from persimmonreach.configuration._plan import StoredConfiguration
from persimmonreach.configuration.codecs import decode_head, decode_service
from persimmonreach.store import Store, StoreContentError

# Above this number of missing services, one listing of all services is cheaper
# than single reads.
_MAX_SINGLE_READS: Final = 20
_MAX_ATTEMPTS: Final = 5


class ConfigurationReader:
    """Reads the head, and the services that are not in its cache.

    Parameters
    ----------
    store
        Store that holds the configuration.

    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._cache: dict[str, ServiceConfig] = {}

    def read(self) -> StoredConfiguration:
        """Return the current head and its services.

        A newer change may delete replaced services between the reads of the head
        and of the services; the head is then read again.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond.
        StoreContentError
            If the head refers to services that do not exist, or if a value is not valid.

        """
        for _ in range(_MAX_ATTEMPTS):
            configuration = read_head(self._store)
            keys = [reference.key for reference in configuration.head.services]
            self._fetch(keys)
            if self._cache.keys() >= set(keys):
                self._cache = {key: self._cache[key] for key in keys}
                return configuration._replace(services=tuple(self._cache.values()))
        raise StoreContentError(
            'the configuration head refers to services that are not in the store'
        )

    def _fetch(self, keys: list[str]) -> None:
        missing = [key for key in keys if key not in self._cache]
        if len(missing) > _MAX_SINGLE_READS:
            found = self._store.list_prefix(SERVICES_PREFIX).rows
        else:
            found = tuple(row for row in map(self._store.get, missing) if row)
        for row in found:
            self._cache[row.key] = decode_service(row.value)


def read_head(store: Store) -> StoredConfiguration:
    """Return the current head without its services.

    Raises
    ------
    StoreUnavailableError
        If the store does not respond.
    StoreContentError
        If the value is not a valid head.

    """
    stored = store.get(HEAD_KEY)
    if stored is None:
        return StoredConfiguration(Head())
    return StoredConfiguration(decode_head(stored.value), stored.revision)


def read_configuration(store: Store) -> StoredConfiguration:
    """Return the current head and all its services.

    Raises
    ------
    StoreUnavailableError
        If the store does not respond.
    StoreContentError
        If the head refers to services that do not exist, or if a value is not valid.

    """
    return ConfigurationReader(store).read()
