"""The checker rejects invalid histories and accepts valid ones."""

import pytest

from .history import (
    Applied,
    Begun,
    Checker,
    LeaseAcquired,
    ObservedHolders,
    OrderJournaled,
    Violation,
)

J1 = OrderJournaled(1, 'e', 'o1')
J2 = OrderJournaled(3, 'e', 'o2')
A1 = Applied(2, 'e', 'o1')
A2 = Applied(4, 'e', 'o2')
T4 = LeaseAcquired(1, 'd', 4, 'a')
T5 = LeaseAcquired(2, 'd', 5, 'b')
OTHER_T5 = LeaseAcquired(3, 'c', 5, 'a')
BY_A = ObservedHolders(1, 'd', ('a',))
BY_B = ObservedHolders(3, 'd', ('b',))
BY_BOTH = ObservedHolders(2, 'd', ('a', 'b'))
WITH = Begun(1, 'e', 'o1', held=True)
WITHOUT = Begun(1, 'e', 'o1', held=False)


@pytest.mark.parametrize(
    ('promise', 'history'),
    [
        ('two holders', [BY_A, BY_BOTH]),
        ('epoch', [T5, T5]),
        ('epoch', [T5, T4]),
        ('authority', [J1, WITH, WITHOUT]),
        ('conflicting', [A1]),
        ('conflicting', [J1, A1, J2, A2, A1]),
        ('conflicting', [J1, J2, A1]),
        ('conflicting', [J1, A1, J2, A2, A1, A2]),
    ],
)
def test_rejects(promise, history):
    with pytest.raises(Violation, match=promise):
        Checker().check(history)


@pytest.mark.parametrize(
    'history',
    [
        [BY_A, BY_B, BY_A],
        [T4, T5, OTHER_T5],
        [J1, WITH, A1, A1, J2, A1, A2, A2],
        [J1, J2, A2],
    ],
)
def test_accepts(history):
    Checker().check(history)
