"""Faults told one by one, each for a case that chance rarely meets."""

import dataclasses

from geranium_coordination import LateCopyHandling, OrderReceiver

from .exploration import EAGER, LONG_FLIGHTS
from .simulation import Scenario
from .world import Fate, Fault

HONOURS = OrderReceiver('honours-fencing', LateCopyHandling.REFUSED)
IGNORES = OrderReceiver('ignores-fencing', LateCopyHandling.APPLIED)
KNOWS = OrderReceiver('knows-order-ids', LateCopyHandling.DEDUPLICATED)
SEEDS = range(12)
BUFFERED = Fault(3, Fate.BUFFER, 15)
FAULTS_BY_SCRIPT = {
    'answer meets freeze': (
        Fault(3, Fate.SLOW, 2),
        Fault(3.3, Fate.FREEZE, 3),
        Fault(6.6, Fate.CUT, 15),
    ),
    'frozen with order in hand': (Fault(3, Fate.FREEZE_IN_HAND, 12),),
    'copy in buffer': (BUFFERED, Fault(4.2, Fate.CUT, 6.5)),
    'host replaced': (BUFFERED, Fault(4.2, Fate.REPLACE, 0)),
    'killed and restarted': (BUFFERED, Fault(4.2, Fate.KILL, 2)),
    'answers lost': (Fault(3, Fate.LOSE, 8), Fault(12, Fate.FREEZE, 6)),
    'slow beside a killed holder': (
        Fault(3, Fate.KILL, 20),
        Fault(6, Fate.SLOW, 10, place=0),
    ),
    'frozen while journalling': (
        Fault(3, Fate.SLOW, 6),
        Fault(5, Fate.FREEZE, 8),
    ),
    'outage': (Fault(3, Fate.OUTAGE, 8), Fault(20, Fate.FREEZE, 6)),
}
EAGER_SCRIPTS = ('slow beside a killed holder', 'outage')


def scripted(name: str, seed: int, *receivers: OrderReceiver) -> Scenario:
    """Return the script's scenario for these receivers of orders."""
    scenario = Scenario(
        faults=FAULTS_BY_SCRIPT[name],
        receivers=receivers,
        journals=LONG_FLIGHTS,
        seed=seed,
        length_s=30,
    )
    if name in EAGER_SCRIPTS:
        return dataclasses.replace(scenario, duties=EAGER)
    return scenario
