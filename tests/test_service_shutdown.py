"""Deadlines of a shutdown, and the controller's answers within them; no sockets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gingergap.service.shutdown import KILL_AFTER, MAX_SET_UP_TIME, shutdown_schedule


# Guards against a shutdown that takes longer than the earliest SIGKILL, whatever times the deployment gives its set-ups.
@given(now=st.integers(0, 1 << 50), longest=st.integers(1, 200_000))
def test_the_schedule_is_in_order_and_ends_before_the_earliest_sigkill(now, longest):
    refuse_from, answer_by, close_by = shutdown_schedule(now, longest)
    assert now < refuse_from <= answer_by <= close_by < now + min(longest, MAX_SET_UP_TIME) + KILL_AFTER


# Guards against dialogs that the controller keeps waiting, routes or retries after the process has refused or answered them.
@pytest.mark.parametrize("groups_full", [True, False])
def test_the_controller_answers_all_dialogs_by_the_deadline_and_declines_later_ones(mesh, groups_full):
    if groups_full:
        for gw in (1, 2, 3):
            mesh.controller.trunk_group_reported(0, gw, 0, 20)
    mesh.receive_dialog(1, expires_in=90_000)
    mesh.controller.shut_down(1_000, 7_500, 12_000)
    mesh.receive_dialog(2, now=2_000, expires_in=90_000)
    mesh.receive_dialog(3, now=7_500, expires_in=90_000)
    assert (3, 0) in mesh.host.calls_of("decline")
    mesh.tick_until(12_200, 2_000)
    answered = {dialog for name in ("decline", "abort") for dialog, *_ in mesh.host.calls_of(name)}
    assert answered == {1, 2, 3}
    sent = len(mesh.host.calls_of("send_leg"))
    mesh.tick_until(40_000, 12_200)
    assert len(mesh.host.calls_of("send_leg")) == sent
