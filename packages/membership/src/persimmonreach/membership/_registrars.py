"""Choice of the registrars of a service, and majorities of them."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple, TypeAlias

import xxhash

from persimmonreach.configuration import EntriesChanged, EntryInstance
from persimmonreach.core import EntryId, ServiceId, Zone

# Three registrars tolerate the loss of one; more would cost heartbeats.
REGISTRARS_PER_SERVICE: Final = 3


def choose_registrars(
    service: ServiceId,
    entries: Sequence[EntryInstance],
) -> tuple[EntryInstance, ...]:
    """Return the registrars of ``service``, at most one a zone if possible."""
    ranked = sorted(
        entries,
        key=lambda entry: (_score(service, entry), entry.entry),
        reverse=True,
    )
    chosen: list[EntryInstance] = []
    zones: set[Zone] = set()
    for candidate in ranked:
        if len(chosen) < REGISTRARS_PER_SERVICE and candidate.zone not in zones:
            chosen.append(candidate)
            zones.add(candidate.zone)
    remaining = [entry for entry in ranked if entry not in chosen]
    return tuple(chosen + remaining[: REGISTRARS_PER_SERVICE - len(chosen)])


RegistrarSet: TypeAlias = tuple[EntryInstance, ...]


class _PastList(NamedTuple):
    entries: tuple[EntryInstance, ...]
    replaced_at: float


class RegistrarSets:
    """Registrars by the present list and by lists replaced a moment ago.

    While a new list spreads, nodes disagree on the registrars. A majority
    therefore has to exist in the present set and in each recent one, so that
    any two majorities share a registrar.

    Parameters
    ----------
    handover_s
        Seconds for which a replaced list still counts.

    """

    def __init__(self, handover_s: float) -> None:
        self._handover_s = handover_s
        self._present = EntriesChanged(0, ())
        self._past: list[_PastList] = []
        self._chosen: dict[ServiceId, tuple[RegistrarSet, ...]] = {}
        self._everyone: dict[ServiceId, RegistrarSet] = {}

    @property
    def present(self) -> EntriesChanged:
        """List of entry instances in force."""
        return self._present

    def adopt(self, change: EntriesChanged, now: float) -> bool:
        """Put a list in force if it is newer; return whether it was."""
        if change.version <= self._present.version:
            return False
        before = self._present.entries
        if before:
            self._past.append(_PastList(before, now))
        self._present = change
        self._forget_affected(before)
        return True

    def expire(self, now: float) -> None:
        """Forget lists whose handover has ended."""
        kept = [past for past in self._past if now - past.replaced_at < self._handover_s]
        if len(kept) < len(self._past):
            self._past = kept
            self._keep_choices(self._settled_services())

    def sets(self, service: ServiceId) -> tuple[RegistrarSet, ...]:
        """Return the sets of registrars that count, the present one first."""
        chosen = self._chosen.get(service)
        if chosen is None:
            lists = [self._present.entries, *(past.entries for past in self._past)]
            chosen = tuple(
                dict.fromkeys(choose_registrars(service, entries) for entries in lists),
            )
            self._chosen[service] = chosen
        return chosen

    def is_first(self, service: ServiceId, entry: EntryId) -> bool:
        """Return whether ``entry`` is the highest-ranked registrar of a service."""
        present = self.sets(service)[0]
        return bool(present) and present[0].entry == entry

    def everyone(self, service: ServiceId) -> tuple[EntryInstance, ...]:
        """Return the registrars of all sets that count."""
        known = self._everyone.get(service)
        if known is None:
            every = (entry for chosen in self.sets(service) for entry in chosen)
            known = tuple(dict.fromkeys(every))
            self._everyone[service] = known
        return known

    def has_majority(self, service: ServiceId, voters: Iterable[str]) -> bool:
        """Return whether ``voters`` hold a majority in every set."""
        times = {EntryId(voter): float(0) for voter in voters}
        return self.majority_time(service, times) is not None

    def majority_time(
        self,
        service: ServiceId,
        times: Mapping[EntryId, float],
    ) -> float | None:
        """Return the oldest time in the newest majority of every set."""
        oldest: list[float] = []
        for chosen in self.sets(service):
            known = sorted(
                (times[entry.entry] for entry in chosen if entry.entry in times),
                reverse=True,
            )
            majority = len(chosen) // 2 + 1
            if len(known) < majority:
                return None
            oldest.append(known[majority - 1])
        return min(oldest, default=None)

    def _forget_affected(self, before: tuple[EntryInstance, ...]) -> None:
        """Rank again only for services whose registrars the change may concern.

        Ranking 760 entry instances for 1,400 services takes more than 1 s, in
        which an entry instance forwards no packet.
        """
        after = self._present.entries
        removed = set(before) - set(after)
        added = tuple(entry for entry in after if entry not in set(before))
        self._keep_choices(
            service
            for service in self._settled_services()
            if not _is_affected(service, self._chosen[service][0], removed, added)
        )

    def _settled_services(self) -> list[ServiceId]:
        """Return the services with the same registrars in all lists."""
        return [key for key, chosen in self._chosen.items() if len(chosen) == 1]

    def _keep_choices(self, services: Iterable[ServiceId]) -> None:
        kept = set(services)
        self._chosen = {key: self._chosen[key] for key in kept}
        self._everyone = {
            key: entries for key, entries in self._everyone.items() if key in kept
        }


def _is_affected(
    service: ServiceId,
    chosen: RegistrarSet,
    removed: set[EntryInstance],
    added: Sequence[EntryInstance],
) -> bool:
    if not removed.isdisjoint(chosen):
        return True
    # An entry instance that was not chosen among fewer is not chosen among more.
    return choose_registrars(service, (*chosen, *added)) != chosen


def _score(service: ServiceId, entry: EntryInstance) -> int:
    # rendezvous_score of core passes text, which xxhash 4.1 refuses.
    return xxhash.xxh3_64_intdigest(f'registrar/{service}\n{entry.entry}'.encode())
