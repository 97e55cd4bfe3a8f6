"""Guards against a bounced packet that is returned to the wrong entry instance."""

from persimmonreach.core import Endpoint, Incarnation
from persimmonreach.forwarding._labels import EntryLabels

ENTRIES = tuple(Endpoint('10.0.0.1', 7000 + number) for number in range(760))


def test_labels_of_an_earlier_process_are_unknown() -> None:
    """Labels started at 1 in each process, so the bounce of a packet that an earlier
    process had delivered was returned to another entry instance.
    """
    earlier, later = EntryLabels(Incarnation(1000)), EntryLabels(Incarnation(1800))
    earlier_labels = [earlier.label_of(entry) for entry in ENTRIES]
    for entry in reversed(ENTRIES):
        later.label_of(entry)
    assert all(later.endpoint_of(label) is None for label in earlier_labels)


def test_each_entry_instance_has_its_own_label() -> None:
    labels = EntryLabels(Incarnation(1000))
    assert len({labels.label_of(entry) for entry in ENTRIES}) == len(ENTRIES)
    assert all(labels.endpoint_of(labels.label_of(entry)) == entry for entry in ENTRIES)


def test_no_entry_instance_has_the_label_of_callers() -> None:
    """Callers write 0 into the field."""
    assert EntryLabels(Incarnation(1)).endpoint_of(bytes(4)) is None
