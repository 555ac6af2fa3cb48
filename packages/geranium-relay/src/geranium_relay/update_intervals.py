"""Intervals of peer updates, which bound the traffic of a host."""

import dataclasses

from .datagrams import PaceSettings
from .peer_updates import Audience


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Intervals of peer updates and the limits for silent hosts.

    Args:
        update_interval_s: Interval of updates with few hosts.
        max_hosts_at_full_rate: Above this number of hosts, aggregators report
            for their zones. Where hosts still send to all others, the interval
            grows in proportion, which bounds a host's traffic. Hosts of the
            same zone are counted separately: they select among the same
            targets, and traffic within a zone is free.
        reader_update_interval_s: Maximum interval of a host that others of
            its zone rely on for what it reads from the store.
        missed_updates: A host that misses this many updates is not used.
        prune_after_s: A host that is silent for this time is sent no updates.
        budget_share_s: Time for which a silent host is taken to use its share
            of a common budget, unless it said that it leaves. Partitions between
            hosts that go on serving last for minutes.
        min_correction_s: Smaller differences of cluster time are ignored.
        aggregators_per_zone: Number of aggregators in each zone.
        max_aggregated_per_s: Updates that an aggregator receives in a second
            from its zone; larger zones send them less often.
        report_interval_factor: Interval of an aggregator's reports as a
            multiple of the interval of the updates that it receives.
        missed_reports: Intervals of reports without one after which a host
            sends its updates to all hosts itself.
        new_host_s: Time for which a new host is reported with its addresses.
        pace: Which part of this host's link its updates may take.
    """

    update_interval_s: float = 0.2
    max_hosts_at_full_rate: int = 16
    reader_update_interval_s: float = 0.4
    missed_updates: float = 6
    prune_after_s: float = 30
    budget_share_s: float = 300
    min_correction_s: float = 0.25
    aggregators_per_zone: int = 2
    max_aggregated_per_s: float = 160
    report_interval_factor: float = 1.25
    missed_reports: float = 3
    new_host_s: float = 10
    pace: PaceSettings = dataclasses.field(default_factory=PaceSettings)


class UpdateIntervals:
    """Intervals of updates for the current number of hosts."""

    def __init__(self, settings: PeerSettings) -> None:
        self._settings = settings
        # Audience.FAR counts all other hosts, including those of this zone.
        self._count_by_audience = dict.fromkeys(Audience, 0)

    def count(self, *, same_zone: bool) -> None:
        """Count another host."""
        self._count_by_audience[Audience.FAR] += 1
        if same_zone:
            self._count_by_audience[Audience.NEAR] += 1

    def is_aggregated(self) -> bool:
        """Return whether aggregators report for their zones."""
        others = self._count_by_audience[Audience.FAR]
        return others >= self._settings.max_hosts_at_full_rate

    def direct_s(self, audience: Audience = Audience.FAR) -> float:
        """Return the interval of updates that go to all of an audience."""
        settings = self._settings
        count = self._count_by_audience[audience]
        share = count / settings.max_hosts_at_full_rate
        return settings.update_interval_s * max(share, 1)

    def member_s(self) -> float:
        """Return the interval of updates to the aggregators of a zone."""
        settings = self._settings
        hosts = self._count_by_audience[Audience.NEAR] + 1
        interval_s = hosts / settings.max_aggregated_per_s
        return max(settings.update_interval_s, interval_s)

    def report_s(self) -> float:
        """Return the interval of the reports of an aggregator."""
        return self._settings.report_interval_factor * self.member_s()

    def reader_s(self) -> float:
        """Return the interval of updates from readers to their zone."""
        if self.is_aggregated():
            return self.report_s()
        return min(
            self.direct_s(Audience.NEAR),
            self._settings.reader_update_interval_s,
        )

    def mean_age_s(self) -> float:
        """Return the mean age of the other hosts' state, in seconds."""
        others = self._count_by_audience[Audience.FAR]
        near = self._count_by_audience[Audience.NEAR]
        if not others:
            return 0
        if self.is_aggregated():
            # The mean wait for the next report of independent aggregators.
            senders = 1 + self._settings.aggregators_per_zone
            hop_s = self.report_s() / senders
            far_share = (others - near) / others
            return self.member_s() / 2 + hop_s * (1 + far_share)
        interval_s = near * self.direct_s(Audience.NEAR)
        interval_s += (others - near) * self.direct_s(Audience.FAR)
        return interval_s / others / 2

    def max_silence_s(self) -> float:
        """Return the time after which a silent host is not used."""
        missed = self._settings.missed_updates
        if not self.is_aggregated():
            return missed * self.direct_s()
        reported_s = missed * self.member_s() + 2 * self.report_s()
        return max(reported_s, 2 * self.direct_s())

    def max_unheard_s(self) -> float:
        """Return the time without reports after which a host sends to all."""
        return self._settings.missed_reports * self.report_s()
