"""Fixed fault sequences for cases that random drawing rarely reaches."""

import dataclasses

from geranium_coordination import LateCopyHandling, OrderReceiver

from .exploration import FREQUENT_POLLS, LONG_FLIGHTS
from .simulation import Scenario
from .world import Fault, FaultKind

FENCING = OrderReceiver('honours-fencing', LateCopyHandling.REFUSED)
NON_FENCING = OrderReceiver('ignores-fencing', LateCopyHandling.APPLIED)
DEDUPLICATING = OrderReceiver('knows-order-ids', LateCopyHandling.DEDUPLICATED)
SEEDS = range(12)
BUFFERED = Fault(3, FaultKind.BUFFER, 15)
FAULTS_BY_SCRIPT = {
    'answer meets freeze': (
        Fault(3, FaultKind.SLOW, 2),
        Fault(3.3, FaultKind.FREEZE, 3),
        Fault(6.6, FaultKind.CUT, 15),
    ),
    'frozen with order in hand': (Fault(3, FaultKind.FREEZE_BEFORE_SEND, 12),),
    'copy in buffer': (BUFFERED, Fault(4.2, FaultKind.CUT, 6.5)),
    'host replaced': (BUFFERED, Fault(4.2, FaultKind.REPLACE, 0)),
    'killed and restarted': (BUFFERED, Fault(4.2, FaultKind.KILL, 2)),
    'answers lost': (
        Fault(3, FaultKind.LOSE, 8),
        Fault(12, FaultKind.FREEZE, 6),
    ),
    'slow beside a killed holder': (
        Fault(3, FaultKind.KILL, 20),
        Fault(6, FaultKind.SLOW, 10, host_index=0),
    ),
    'frozen while journalling': (
        Fault(3, FaultKind.SLOW, 6),
        Fault(5, FaultKind.FREEZE, 8),
    ),
    'outage': (Fault(3, FaultKind.OUTAGE, 8), Fault(20, FaultKind.FREEZE, 6)),
}
FREQUENT_POLL_SCRIPTS = ('slow beside a killed holder', 'outage')


def scripted(name: str, seed: int, *receivers: OrderReceiver) -> Scenario:
    """Return the scenario of a script for the given receivers."""
    scenario = Scenario(
        faults=FAULTS_BY_SCRIPT[name],
        receivers=receivers,
        journals=LONG_FLIGHTS,
        seed=seed,
        length_s=30,
    )
    if name in FREQUENT_POLL_SCRIPTS:
        return dataclasses.replace(scenario, duties=FREQUENT_POLLS)
    return scenario
