"""Periods of heartbeats, leases and gossip."""

from typing import Final, NamedTuple

from persimmonreach.core import Finding, raise_findings

# Quartz clocks drift below 200 ppm; 1% also covers a slewing time service.
CLOCK_DRIFT_RATIO: Final = 0.01
_SOURCE: Final = 'membership settings'


class MembershipSettings(NamedTuple):
    """Settings of heartbeats, leases and gossip; all times in seconds.

    Attributes
    ----------
    heartbeat_s
        Period of heartbeats. With 1 s a lease survives two lost heartbeats.
    lease_s
        Length of an admission lease from the sending of a heartbeat.
    fence_s
        Time after a registrar's last acknowledgement at which it declares the
        agent dead; exceeds the lease so that the lease ends first.
    gossip_s
        Period of digest comparisons. A lost row is repaired within a few
        periods, and one digest costs about 40 bytes per second.
    batch_s
        Time for which changed rows are collected, so that the loss of a zone
        is sent in a few datagrams.
    retention_s
        Time for which rows of dead or departed members are kept; exceeds the
        minutes for which regions lose contact with each other.
    handover_s
        Time for which the registrars of a replaced list still count; exceeds
        the time that a new list needs to reach all nodes by gossip. If a
        partition lasts longer and the store replaces most registrars of a
        service meanwhile, both sides can find a majority.
    anti_entropy
        Whether digests are compared; off only in tests and benchmarks.
    fencing
        Whether registrars wait for ``fence_s``; off only in tests and
        benchmarks.

    """

    heartbeat_s: float = 1
    lease_s: float = 3
    fence_s: float = 4
    gossip_s: float = 2
    batch_s: float = 0.2
    retention_s: float = 600
    handover_s: float = 10
    anti_entropy: bool = True
    fencing: bool = True

    @property
    def silence_s(self) -> float:
        """Seconds without an acknowledgement before an agent counts as dead."""
        return self.fence_s if self.fencing else self.heartbeat_s


def check_settings(settings: MembershipSettings) -> None:
    """Check that the periods keep a lease from outlasting the fence.

    Raises
    ------
    FindingsError
        If a period is not positive or the fence is too short.

    """
    findings = [
        Finding(_SOURCE, f'$.{name}', 'must be positive')
        for name, seconds in settings._asdict().items()
        if seconds <= 0 and not isinstance(seconds, bool)
    ]
    shortest = settings.lease_s * (1 + CLOCK_DRIFT_RATIO) / (1 - CLOCK_DRIFT_RATIO)
    if settings.fence_s <= shortest:
        findings.append(
            Finding(
                _SOURCE,
                '$.fence_s',
                'a lease may outlast the fence',
                f'use more than {shortest:.2f} s',
            ),
        )
    if settings.lease_s <= settings.heartbeat_s:
        findings.append(
            Finding(_SOURCE, '$.lease_s', 'must be longer than heartbeat_s'),
        )
    raise_findings('membership settings are not valid', findings)
