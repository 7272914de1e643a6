import pytest

from gingergap.call_controller import LinearCongruentialGenerator, TrunkGroup


@pytest.fixture
def group():
    group = TrunkGroup(LinearCongruentialGenerator(1))
    group.update(20, 20)
    return group


@pytest.mark.parametrize(("size", "cap", "accept", "lower"), [(20, 18, 16, 9), (40, 38, 34, 19), (4, 3.6, 2.6, 1.6)])
def test_starting_levels(group, size, cap, accept, lower):
    group.update(size, size)
    assert (group.cap, group.accept_below, group.lower_below) == pytest.approx((cap, accept, lower))


def test_above_the_cap_all_are_declined(group):
    group.free = 2
    assert not any(group.admit(1, False) for _ in range(50))


def test_below_the_acceptance_threshold_all_are_accepted(group):
    group.free = 6
    assert all(group.admit(1, True) for _ in range(50))


def test_the_band_declines_in_proportion(group):
    group.free = 4  # 17 busy after it: half-way through the band from 16 to 18
    declined = sum(not group.admit(1, False) for _ in range(2000))
    assert 900 < declined < 1100


def test_a_run_of_declines_raises_the_levels(group):
    group.free = 0
    for _ in range(6):
        group.admit(1, True)
    assert (group.cap, group.accept_below, group.lower_below) == (20, 17, 10)
    assert group.consecutive_declines == 0


def test_five_declines_are_no_run(group):
    group.free = 0
    for _ in range(5):
        group.admit(1, True)
    assert group.cap == 18


def test_redials_are_no_fresh_demand(group):
    group.free = 0
    for _ in range(50):
        group.admit(1, False)
    assert group.cap == 18


def test_an_accept_resets_the_raising_counter(group):
    group.consecutive_declines = 5
    group.free = 20
    group.admit(1, True)
    assert group.consecutive_declines == 0


def test_a_run_of_low_occupancy_lowers_the_levels_and_the_clamp_holds_them(group):
    for _ in range(6):
        group.admit(1, True)
    assert (group.cap, group.accept_below, group.lower_below) == (16, 15, 8)
    for _ in range(60):
        group.admit(1, True)
    assert (group.cap, group.accept_below, group.lower_below) == (16, 15, 8)


def test_the_upper_clamp_leaves_the_thresholds_put(group):
    group.cap = 19
    group.free = 0
    for _ in range(6):
        group.admit(1, True)
    assert (group.cap, group.accept_below, group.lower_below) == (20, 16, 9)


def test_declines_and_the_band_reset_the_lowering_counter(group):
    for free in (0, 4):
        group.consecutive_low = 5
        group.free = free
        group.admit(1, False)
        assert group.consecutive_low == 0


@pytest.mark.parametrize("size", [0, 1, 2, 3, 5])
def test_small_groups_keep_their_levels_in_order(group, size):
    group.update(size, size)
    for _ in range(40):
        group.admit(1, True)
        assert group.lower_below < group.accept_below < group.cap <= max(size, group.min_cap)


def test_a_group_without_circuits_takes_nothing(group):
    group.update(0, 0)
    assert not group.fits(1)
    assert not group.admit(1, True)


def test_lost_circuits_start_the_levels_anew(group):
    group.cap = 20
    group.update(3, 10)
    assert (group.cap, group.free) == (9, 3)
