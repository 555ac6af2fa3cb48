"""The checker rejects what it must and accepts what it may."""

import pytest

from .history import (
    Applied,
    Begun,
    Believed,
    Checker,
    Journalled,
    Taken,
    Violation,
)

J1 = Journalled(1, 'e', 'o1')
J2 = Journalled(3, 'e', 'o2')
A1 = Applied(2, 'e', 'o1')
A2 = Applied(4, 'e', 'o2')
T4 = Taken(1, 'd', 4, 'a')
T5 = Taken(2, 'd', 5, 'b')
OTHER_T5 = Taken(3, 'c', 5, 'a')
BY_A = Believed(1, 'd', ('a',))
BY_B = Believed(3, 'd', ('b',))
BY_BOTH = Believed(2, 'd', ('a', 'b'))
WITH = Begun(1, 'e', 'o1', held=True)
WITHOUT = Begun(1, 'e', 'o1', held=False)


@pytest.mark.parametrize(
    ('promise', 'history'),
    [
        ('two believe', [BY_A, BY_BOTH]),
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
