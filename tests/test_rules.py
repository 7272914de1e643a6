"""The controller's rules on a small network, and regressions found on the bench."""

import pytest

from gingergap.call_controller import Dialog, Exchange, LinearCongruentialGenerator, TrunkGroup
from gingergap.host import GwState, LegEnd, ListEntry, Rsn


def end_leg(mesh, dialog_index, gw, leg_end, now, rsn=0, finished=False):
    mesh.controller.leg_ended(now, dialog_index, gw, leg_end, rsn, finished, 20, 20)


def test_every_dialog_is_answered_before_its_caller_gives_up(mesh):
    mesh.receive_dialog(0, expires_in=30_000)
    mesh.tick_until(30_000)
    assert mesh.host.calls_of("abort") == [(0,)]
    assert mesh.host.calls_of("cancel_leg") == [(0, 0)]
    end_leg(mesh, 0, 1, LegEnd.CANCELLED, 30_050)
    mesh.tick_until(60_000, 30_200)
    assert len(mesh.host.calls_of("send_leg")) == 1
    assert not mesh.host.calls_of("decline")


def test_a_transit_dialog_is_sent_to_its_destination_or_declined(mesh):
    mesh.gws[2].group.update(0, 20)
    mesh.receive_dialog(0, destination=2, transit=True)
    mesh.receive_dialog(1, destination=1, transit=True)
    assert mesh.host.calls_of("decline") == [(0, 0)]
    assert [leg[:2] for leg in mesh.host.calls_of("send_leg")] == [(1, 1)]


def test_no_second_leg_is_sent_while_one_is_out(mesh):
    mesh.receive_dialog(0)
    dialog = mesh.controller.dialogs[0]
    assert not mesh.controller._send(0, dialog, mesh.gws[2])


@pytest.mark.parametrize("state", [GwState.DRAINING, GwState.GONE])
def test_no_leg_is_sent_to_a_draining_or_gone_exchange(mesh, state):
    mesh.controller.exchange_list_received(10, [ListEntry(1, 1, state, 0)], False)
    mesh.receive_dialog(0, now=10)
    assert not mesh.host.calls_of("send_leg")
    assert mesh.host.calls_of("decline")


def test_an_exchange_missing_from_a_complete_list_is_gone(mesh):
    mesh.controller.exchange_list_received(10, [ListEntry(0, 0, GwState.READY, 0)], True)
    mesh.receive_dialog(0, now=10)
    assert not mesh.host.calls_of("send_leg")


def test_a_cold_exchange_gets_no_more_legs_than_its_budget(mesh):
    mesh.controller.best_setup_rate = (
        61.0  # 6.1 dialogs a second to each far end from all proxies; three times 0.25 of those in 2 s
    )
    mesh.controller.exchange_list_received(10, [ListEntry(1, 1, GwState.READY, 10)], False)
    for dialog in range(20):
        mesh.receive_dialog(dialog, now=10)
    assert len([leg for leg in mesh.host.calls_of("send_leg") if leg[1] == 1]) == 9


# Guards against a leg sent within the release guard of a cancelled one that lost its connection only later.
def test_the_release_guard_starts_again_when_a_cancelled_leg_loses_its_connection(mesh):
    mesh.receive_dialog(0)
    end_leg(mesh, 0, 1, LegEnd.CANCELLED, 1_000)
    mesh.controller.leg_cut_late(2_600, 0)
    mesh.tick_until(4_600, 2_800)
    assert len(mesh.host.calls_of("send_leg")) == 1
    mesh.tick_until(5_000, 4_600)
    assert len(mesh.host.calls_of("send_leg")) == 2


def test_the_next_leg_waits_for_the_release_guard(mesh):
    mesh.receive_dialog(0)
    end_leg(mesh, 0, 1, LegEnd.CUT, 1_000)
    mesh.tick_until(3_000, 1_200)
    assert len(mesh.host.calls_of("send_leg")) == 1
    mesh.tick_until(3_400, 3_000)
    assert len(mesh.host.calls_of("send_leg")) == 2


def test_a_dialog_in_doubt_that_is_not_repeatable_is_aborted(mesh):
    mesh.receive_dialog(0, traffic_type=2)
    end_leg(mesh, 0, 1, LegEnd.NO_ANSWER, 1_000)
    mesh.tick_until(4_000, 1_200)
    assert mesh.host.calls_of("abort") == [(0,)]
    assert len(mesh.host.calls_of("send_leg")) == 1


@pytest.mark.parametrize(
    ("leg_end", "rsn"), [(LegEnd.FULL, Rsn.PROCESSOR_FULL), (LegEnd.NOT_SENT, Rsn.PROCESSOR_FULL), (LegEnd.UNREACHABLE, Rsn.NONE)]
)
def test_a_full_or_unreachable_exchange_gets_no_other_leg_at_once(mesh, leg_end, rsn):
    mesh.receive_dialog(0)
    end_leg(mesh, 0, 1, leg_end, 100, rsn=rsn)
    assert len(mesh.host.calls_of("send_leg")) == 1


def test_a_dialog_rejected_by_one_tandem_tries_the_other(mesh):
    mesh.gws[1].group.update(0, 20)
    mesh.receive_dialog(0)
    first = mesh.host.calls_of("send_leg")[0][1]
    end_leg(mesh, 0, first, LegEnd.FULL, 100, rsn=Rsn.TANDEM_DECLINED)
    assert [leg[1] for leg in mesh.host.calls_of("send_leg")] == [first, 5 - first]


def test_an_established_dialog_that_is_cut_is_forgotten_without_an_answer(mesh):
    mesh.receive_dialog(0)
    mesh.controller.dialog_established(100, 0, 100)
    end_leg(mesh, 0, 1, LegEnd.CUT, 1_000, finished=True)
    assert not mesh.controller.dialogs
    assert not mesh.host.calls_of("abort")


def test_a_redial_keeps_the_objective_of_the_first_try(mesh):
    mesh.controller.first_tried["same", 0, 1] = 0
    mesh.controller.dialog_received(9_000, 1, 0, 1, 1, "same", 30_000, False, False, False)
    assert mesh.controller.dialogs[1].objective_at == 15_000
    assert mesh.controller.dialogs[1].redialled


def test_a_blocked_dialog_waits_for_a_circuit_and_is_declined_within_its_objective(mesh):
    for gw in (1, 2, 3):
        mesh.gws[gw].group.update(0, 20)
    mesh.receive_dialog(0)
    mesh.receive_dialog(1)
    assert not mesh.host.calls_of("decline")
    mesh.controller.trunk_group_reported(5_000, 1, 1, 20)
    mesh.controller.tick(5_000)
    assert [leg[:2] for leg in mesh.host.calls_of("send_leg")] == [(0, 1)]
    mesh.tick_until(15_000, 5_200)
    assert mesh.host.calls_of("decline") == [(1, 20_000)]


def test_a_waiting_dialog_goes_to_the_exchange_that_holds_the_number_now(mesh):
    for gw in (1, 2, 3):
        mesh.gws[gw].group.update(0, 20)
    mesh.receive_dialog(0)
    mesh.controller.exchange_list_received(100, [ListEntry(1, 1, GwState.DRAINING, 0), ListEntry(9, 1, GwState.READY, 0)], False)
    mesh.controller.trunk_group_reported(100, 9, 1, 20)
    mesh.tick_until(600, 200)
    assert [leg[:2] for leg in mesh.host.calls_of("send_leg")] == [(0, 9)]


def test_a_single_slow_answer_counts_half(mesh):
    mesh.gws[1].record_setup(0, 8_000)
    assert mesh.gws[1].expected_setup(0) == 4_000
    assert mesh.gws[1].expected_setup(100_000) < 1_100


def test_the_time_of_an_unanswered_leg_raises_the_expected_setup_time(mesh):
    mesh.receive_dialog(0)
    assert mesh.gws[1].expected_setup(9_000) == 9_000


def test_a_draining_exchange_does_not_take_the_number_from_its_replacement(mesh):
    mesh.controller.best_setup_rate = 100.0
    mesh.controller.exchange_list_received(10, [ListEntry(9, 1, GwState.READY, 10)], False)
    mesh.controller.exchange_list_received(20, [ListEntry(1, 1, GwState.DRAINING, 0)], False)
    mesh.controller.exchange_list_received(30, [ListEntry(1, 1, GwState.GONE, 0)], False)
    mesh.controller.trunk_group_reported(30, 9, 20, 20)
    mesh.receive_dialog(0, now=40)
    assert [leg[:2] for leg in mesh.host.calls_of("send_leg")] == [(0, 9)]


def test_the_best_setup_rate_falls_more_slowly_than_the_present_one(mesh):
    mesh.controller.setup_rate = 60.0
    mesh.tick_until(100_000)
    assert mesh.controller.best_setup_rate > 45 > mesh.controller.setup_rate


@pytest.mark.parametrize("answered", [True, False])
def test_a_silent_leg_is_cancelled_early_only_if_later_ones_are_answered(mesh, answered):
    mesh.receive_dialog(0)
    for dialog in (1, 2, 3):
        mesh.receive_dialog(dialog, destination=2, now=1_000)
        if answered:
            mesh.controller.dialog_established(1_500, dialog, 500)
    mesh.tick_until(14_000, start=2_000)
    assert mesh.host.calls_of("cancel_leg") == ([(0, 0)] if answered else [])


def test_a_proven_tandem_is_selected_before_others(mesh):
    controller = mesh.controller
    mesh.gws[1].group.update(0, 20)
    controller.proven_tandems[1] = [mesh.gws[3], mesh.gws[2]]
    controller.tandem_backoffs[3, 1] = (60_000, 60_000)
    mesh.receive_dialog(0)
    assert mesh.host.calls_of("send_leg")[0][1] == 2
    end_leg(mesh, 0, 2, LegEnd.FULL, 100, rsn=Rsn.TANDEM_DECLINED)
    assert mesh.gws[2] not in controller.proven_tandems[1]


def test_each_rejection_in_a_row_doubles_the_back_off_of_a_tandem(mesh):
    mesh.gws[1].group.update(0, 20)
    mesh.controller.tandem_backoffs[2, 1] = mesh.controller.tandem_backoffs[3, 1] = (0, 60_000)
    mesh.receive_dialog(0)
    tandem = mesh.host.calls_of("send_leg")[0][1]
    end_leg(mesh, 0, tandem, LegEnd.FULL, 100, rsn=Rsn.TANDEM_DECLINED)
    assert mesh.controller.tandem_backoffs[tandem, 1] == (120_100, 120_000)


def test_a_lost_answer_does_not_make_a_far_end_look_silent(mesh):
    exchange = mesh.gws[1]
    mesh.receive_dialog(0)
    mesh.receive_dialog(1, now=5_000)
    assert exchange.expected_setup(15_000) == 15_000
    mesh.controller.dialog_established(6_000, 1, 1_000)
    assert exchange.expected_setup(15_000) < 2_000


def test_an_advised_tandem_is_one_of_the_two_selected(mesh):
    mesh.controller.exchange_list_received(0, [ListEntry(gw, gw, GwState.READY, 0) for gw in range(4, 9)], False)
    for gw in range(4, 9):
        mesh.controller.trunk_group_reported(0, gw, 20, 20)
    dialog = Dialog(0, 0, 1, 1, "n", False, False, 30_000, 15_000, 0.5, 6)
    assert all(mesh.gws[6] in mesh.controller._select_tandems(dialog) for _ in range(10))


def test_the_cold_budget_of_all_proxies_holds_for_any_number_of_them():
    for proxies in (1, 3, 10, 60, 1_000):
        legs, leg_rate, span = 0, 0.01, 10_000  # a hundred legs a second to each warm exchange
        for proxy in range(proxies):
            exchange = Exchange(1, TrunkGroup(LinearCongruentialGenerator(proxy)), 0.4, 140_000, 2.5, span, proxies)
            exchange.update_entry(ListEntry(1, 1, GwState.READY, 1))
            for now in range(1, 60_001, 500):
                if exchange.has_cold_budget(now, leg_rate):
                    exchange.cold_legs.append(now)
                    legs += 1
        assert 0 < legs / 6 <= 3 * 0.4 * 2.5 * leg_rate * span * 1.1


def test_a_tandem_whose_proxy_reports_no_room_is_skipped_and_no_report_counts_as_room(mesh):
    mesh.gws[1].group.update(0, 20)
    dialog = Dialog(0, 0, 1, 1, "n", False, False, 30_000, 15_000, 0.5, -1)
    mesh.controller.peer_report_received(0, bytes([0, 2, 0b1000, 0]))
    assert mesh.controller._select_tandems(dialog) == [mesh.gws[3]]
    mesh.controller.peer_report_received(0, bytes([0, 2, 0b1010, 0]))
    assert len(mesh.controller._select_tandems(dialog)) == 2
    mesh.controller.peer_report_received(0, b"")
    mesh.controller.peer_report_received(0, bytes([9, 9, 1, 1]))


def test_peers_get_a_report_of_the_groups_with_room_for_two_leg_dialogs(mesh):
    mesh.gws[1].group.update(0, 20)
    mesh.gws[2].group.update(4, 20)
    mesh.controller.max_circuits = 2
    mesh.controller.tick(0)
    assert mesh.host.calls_of("send_to_peers") == [(bytes([0, 0, 0b1100, 0b1000]),)]


def test_circuits_are_reserved_for_a_more_important_waiting_dialog(mesh):
    for gw in (1, 2, 3):
        mesh.gws[gw].group.update(1, 20)
    mesh.receive_dialog(0, traffic_type=1, width=2)
    mesh.receive_dialog(1)
    assert not mesh.host.calls_of("send_leg")
    mesh.controller.trunk_group_reported(100, 1, 2, 20)
    mesh.controller.tick(200)
    assert [leg[0] for leg in mesh.host.calls_of("send_leg")] == [0]


def test_full_legs_in_a_row_hold_back_dialogs_to_all_destinations(mesh):
    for dialog in range(4):
        mesh.receive_dialog(dialog, destination=1 + dialog % 2)
    for dialog in range(4):
        end_leg(mesh, dialog, 1 + dialog % 2, LegEnd.FULL, 100, rsn=Rsn.PROCESSOR_FULL)
    mesh.receive_dialog(8, destination=3, now=200)
    assert [leg for leg in mesh.host.calls_of("send_leg") if leg[1] == 3] == []


def test_a_dialog_without_a_direct_group_tries_tandems_again_later(mesh):
    mesh.gws[1].group.update(0, 0)
    for gw in (2, 3):
        mesh.gws[gw].group.update(0, 20)
    mesh.receive_dialog(0)
    assert not mesh.host.calls_of("send_leg")
    mesh.gws[2].group.update(20, 20)
    mesh.tick_until(4_000, start=200)
    assert [leg[:2] for leg in mesh.host.calls_of("send_leg")] == [(0, 2)]


def test_tandems_without_room_or_in_a_slow_network_are_not_selected(mesh):
    dialog = Dialog(0, 1, 1, 2, "n", False, False, 30_000, 15_000, 0.5, -1)
    mesh.gws[2].group.update(1, 20)
    assert mesh.controller._select_tandems(dialog) == [mesh.gws[3]]
    mesh.controller.average_setup = 5_000.0
    assert mesh.controller._select_tandems(dialog) == []


def test_a_signalling_fault_is_followed_by_another_leg_and_busy_lines_are_not(mesh):
    for dialog, rsn in enumerate((Rsn.NONE, Rsn.LINES_BUSY, Rsn.NO_WAY)):
        mesh.receive_dialog(dialog)
        end_leg(mesh, dialog, 1, LegEnd.BUSY, 100, rsn)
    assert [leg[0] for leg in mesh.host.calls_of("send_leg")] == [0, 0, 1, 2]
    assert [dialog for dialog, _ in mesh.host.calls_of("decline")] == [1, 2]


def test_a_broken_far_end_gets_one_leg_per_dialog_until_a_dialog_is_established_there(mesh):
    """Guards against two failures: all dialogs lost to a far end that answers half its legs with a signalling fault, and
    six times the load on a broken far end because each dialog tries again."""
    for dialog in range(20):
        mesh.receive_dialog(dialog)
        while len(mesh.host.calls_of("send_leg")) > sum(len(mesh.host.calls_of(end)) for end in ("decline", "abort")) and not any(
            entry[0] == dialog for entry in mesh.host.calls_of("decline")
        ):
            end_leg(mesh, dialog, 1, LegEnd.BUSY, 100)
    before = len(mesh.host.calls_of("send_leg"))
    mesh.receive_dialog(20)
    end_leg(mesh, 20, 1, LegEnd.BUSY, 200)
    assert len(mesh.host.calls_of("send_leg")) == before + 1
    for dialog in (21, 22, 23):
        mesh.receive_dialog(dialog)
        mesh.controller.dialog_established(300, dialog, 100)
    mesh.receive_dialog(24)
    end_leg(mesh, 24, 1, LegEnd.BUSY, 400)
    assert [leg[0] for leg in mesh.host.calls_of("send_leg")].count(24) == 2


def test_a_signalling_fault_aborts_a_dialog_that_is_not_repeatable(mesh):
    mesh.receive_dialog(0, traffic_type=2)
    end_leg(mesh, 0, 1, LegEnd.BUSY, 100)
    assert mesh.host.calls_of("abort") == [(0,)]


def test_signs_of_load_fade_in_proportion_to_the_shortest_objective(mesh):
    """Guards against signs of load that last for a fixed time: with objectives of a quarter, one full processor held back
    nearly all dialogs for two seconds, while legs to it were answered in 22 ms."""
    assert mesh.controller.half_life == 10_000
    mesh.controller.traffic_types = [
        traffic_type._replace(setup_objective=traffic_type.setup_objective // 4) for traffic_type in mesh.controller.traffic_types
    ]
    quick_controller = type(mesh.controller)(
        mesh.host,
        7,
        0,
        4,
        mesh.controller.traffic_types,
        release_guard=1_000,
        max_legs=4,
        max_hold_off=0,
        can_cancel_legs=True,
        must_subscribe=False,
        can_message_peers=False,
        has_route_advice=False,
        cold_share=0.4,
        warm_after=140_000,
        overload_factor=2.5,
        overload_span=1,
    )
    quick_controller.exchange_list_received(0, [ListEntry(gw, gw, GwState.READY, 0) for gw in range(4)], True)
    for controller, later in ((mesh.controller, 10_000), (quick_controller, 2_500)):
        controller.trunk_group_reported(0, 1, 20, 20)
        controller.dialog_received(0, 0, 0, 1, 1, "n", 30_000, False, False, False)
        controller.leg_ended(0, 0, 1, LegEnd.UNREACHABLE, Rsn.NONE, False, 20, 20)
        exchange = controller.exchanges[1]
        assert exchange.expected_setup(0) == controller.traffic_types[0].setup_objective
        assert (
            abs(exchange.expected_setup(later) - exchange.fastest_setup - (exchange.recent_setup - exchange.fastest_setup) / 2) < 20
        )
        assert 0 < exchange.overloaded_until <= 2 * later


def test_full_processors_in_a_row_hold_back_more_dialogs_than_a_single_one(mesh):
    """Guards against an overreaction: a leg rejected in a short stall of all processors held back nearly all dialogs, the
    next few were answered at once, and all the others were let through together."""
    held_back = []
    for dialog_index in range(6):
        dialog = Dialog(0, 0, 1, 1, "n", False, False, 30_000, 15_000, 0.5, -1)
        held_back.append(mesh.controller._is_held_back(dialog, mesh.gws[1]))
        mesh.controller.dialogs[dialog_index] = dialog
        end_leg(mesh, dialog_index, 1, LegEnd.FULL, 0, Rsn.PROCESSOR_FULL)
        mesh.controller.consecutive_full = 0  # only this far end: the count stands for the own processor
    assert not held_back[1] and held_back[-1] and held_back == sorted(held_back)


def test_a_dialog_rejected_by_a_full_processor_waits_before_its_next_leg(mesh):
    mesh.receive_dialog(0)
    end_leg(mesh, 0, 1, LegEnd.FULL, 0, Rsn.PROCESSOR_FULL)
    mesh.tick_until(2_400, 200)
    assert len(mesh.host.calls_of("send_leg")) == 1
    mesh.tick_until(3_000, 2_400)
    assert len(mesh.host.calls_of("send_leg")) == 2


# Guards against a leg sent for a caller that has gone, and a leg cancelled that could still be answered.
def test_a_dialog_whose_caller_is_done_keeps_its_leg_and_gets_no_other(mesh):
    mesh.receive_dialog(0)
    mesh.controller.caller_done(100, 0)
    end_leg(mesh, 0, 1, LegEnd.FULL, 200)
    mesh.tick_until(4_000, 200)
    assert len(mesh.host.calls_of("send_leg")) == 1
    assert len(mesh.host.calls_of("decline")) == 1
    mesh.gws[1].group.update(0, 20)
    mesh.receive_dialog(1)
    mesh.controller.caller_done(4_000, 1)
    mesh.receive_dialog(2, destination=3, now=4_000)
    mesh.controller.caller_done(4_000, 2)
    mesh.controller.dialog_established(4_100, 2, 100)
    assert mesh.controller.dialogs[2].established
