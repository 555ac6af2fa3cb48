"""Checks reported usage against the usage that hosts counted.

Each record is one request of a separate team, so that the reports show how
often each record was counted.
"""

import dataclasses
import itertools
from collections import Counter
from collections.abc import Iterator, Mapping


@dataclasses.dataclass(frozen=True)
class Submitted:
    window: int
    requests_by_team: Mapping[str, int]


@dataclasses.dataclass
class History:
    recorded: set[str] = dataclasses.field(default_factory=set)
    acknowledged: set[str] = dataclasses.field(default_factory=set)
    submitted: list[Submitted] = dataclasses.field(default_factory=list)

    def violations(self) -> Iterator[str]:
        reports: dict[int, Submitted] = {}
        for report in self.submitted:
            first = reports.setdefault(report.window, report)
            if first != report:
                yield f'window {report.window} has two figures'
        for earlier, later in itertools.pairwise(sorted(reports)):
            if later != earlier + 1:
                yield f'a window after {earlier} is left out'
        counted: Counter[str] = Counter()
        for report in reports.values():
            counted.update(report.requests_by_team)
        yield from self._check_counts(counted)

    def _check_counts(self, counted: Mapping[str, int]) -> Iterator[str]:
        for team, requests in counted.items():
            if requests > 1 or team not in self.recorded:
                yield f'{team} is counted {requests} times'
        for team in self.acknowledged:
            if not counted.get(team):
                yield f'{team} is lost'
