"""The levels of a trunk group under TBCA-BP."""

import pytest

from gingergap.call_controller import LinearCongruentialGenerator, TrunkGroup


@pytest.fixture
def group():
    group = TrunkGroup(LinearCongruentialGenerator(1))
    group.update(20, 20)
    return group


@pytest.mark.parametrize(("size", "cap", "accept", "lower"), [(20, 18, 16, 9), (40, 38, 34, 19), (4, 3.6, 2.6, 1.6)])
def test_initial_levels(group, size, cap, accept, lower):
    group.update(size, size)
    assert (group.cap, group.accept_below, group.lower_below) == pytest.approx((cap, accept, lower))


def test_every_dialog_above_the_cap_is_declined(group):
    group.free = 2
    assert not any(group.admit(1, False) for _ in range(50))


def test_every_dialog_below_the_acceptance_threshold_is_accepted(group):
    group.free = 6
    assert all(group.admit(1, True) for _ in range(50))


def test_dialogs_in_the_decline_band_are_declined_in_proportion(group):
    group.free = 4  # 17 circuits occupied with the dialog: half-way through the band from 16 to 18
    declined = sum(not group.admit(1, False) for _ in range(2000))
    assert 900 < declined < 1100


def test_a_run_of_declines_raises_the_levels(group):
    group.free = 0
    for _ in range(6):
        group.admit(1, True)
    assert (group.cap, group.accept_below, group.lower_below) == (20, 17, 10)
    assert group.consecutive_declines == 0


def test_five_declines_in_a_row_leave_the_levels(group):
    group.free = 0
    for _ in range(5):
        group.admit(1, True)
    assert group.cap == 18


def test_declined_redials_do_not_raise_the_levels(group):
    group.free = 0
    for _ in range(50):
        group.admit(1, False)
    assert group.cap == 18


def test_an_acceptance_resets_the_count_of_declines(group):
    group.consecutive_declines = 5
    group.free = 20
    group.admit(1, True)
    assert group.consecutive_declines == 0


def test_a_run_of_low_occupancy_lowers_the_levels_down_to_the_minimum(group):
    for _ in range(6):
        group.admit(1, True)
    assert (group.cap, group.accept_below, group.lower_below) == (16, 15, 8)
    for _ in range(60):
        group.admit(1, True)
    assert (group.cap, group.accept_below, group.lower_below) == (16, 15, 8)


def test_a_cap_limited_to_the_size_leaves_the_thresholds(group):
    group.cap = 19
    group.free = 0
    for _ in range(6):
        group.admit(1, True)
    assert (group.cap, group.accept_below, group.lower_below) == (20, 16, 9)


def test_declines_and_the_decline_band_reset_the_count_of_low_occupancy(group):
    for free in (0, 4):
        group.consecutive_low = 5
        group.free = free
        group.admit(1, False)
        assert group.consecutive_low == 0


@pytest.mark.parametrize("size", [0, 1, 2, 3, 5])
def test_the_levels_of_small_groups_keep_their_order(group, size):
    group.update(size, size)
    for _ in range(40):
        group.admit(1, True)
        assert group.lower_below < group.accept_below < group.cap <= max(size, group.min_cap)


def test_a_group_without_circuits_accepts_nothing(group):
    group.update(0, 0)
    assert not group.fits(1)
    assert not group.admit(1, True)


def test_another_size_resets_the_levels(group):
    group.cap = 20
    group.update(3, 10)
    assert (group.cap, group.free) == (9, 3)
