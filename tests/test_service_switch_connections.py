"""The connections to one switch: which one a set-up uses, and when new ones are opened."""

import socket

import pytest

from gingergap.service.switch_connections import (
    MAX_LINKS,
    MAX_UNANSWERED_PROBES,
    RETRY_INTERVAL,
    SILENCE_TIMEOUT,
    STALL_TIMEOUT,
    SwitchConnections,
)
from gingergap.service.switch_processes import UNREACHABLE_TIMEOUT


class FakeOwner:
    def __init__(self):
        self.now, self.set_ups, self.established, self.lost_switches = 1000.0, {}, 0, []
        self.lost_links, self.refusals = [], []
        self.idle_links = 1

    def clock(self):
        return int(self.now * 10_000)

    def link_up(self, link):
        pass

    def link_lost(self, link, was_up):
        self.lost_links.append(link)

    def open_set_ups(self, link):
        return self.set_ups.get(link, 0)

    def established_calls(self, switch):
        return self.established

    def connections_failed(self, switch):
        is_lost = self.now - max(switch.failing_since, switch.last_read_at) > UNREACHABLE_TIMEOUT / 10_000
        if is_lost:
            self.lost_switches.append(switch)
        return is_lost

    def max_idle_links(self):
        return self.idle_links

    def connection_refused(self, switch):
        self.refusals.append(switch)

    def link_unreadable(self, link, reason):
        pass

    def message_dropped(self, switch):
        pass


@pytest.fixture
def switch(monkeypatch):
    """The connections to one switch, with nothing connected; tests bring links up."""
    monkeypatch.setattr("gingergap.service.switch_connections.gevent.spawn", lambda *args: None)
    return SwitchConnections(FakeOwner(), 1, ("127.0.0.1", 9), 0.5)


def connect(switch):
    link = switch.links[-1]
    link.up = True
    switch.link_up(link)
    return link


def test_each_set_up_has_a_connection_of_its_own_until_there_are_enough(switch):
    links = []
    for _ in range(MAX_LINKS):
        links.append(switch.choose_link(set()))
        connect(switch)
        switch.owner.set_ups[links[-1]] = 1
    assert len(set(links)) == MAX_LINKS
    switch.owner.set_ups[links[2]] = 0
    assert switch.choose_link(set()) is links[2]
    switch.owner.set_ups = {link: 5 - index for index, link in enumerate(links)}
    assert switch.choose_link(set()) is links[-1]
    assert switch.choose_link({links[-1]}) is links[-2]


def test_a_retired_connection_gets_no_set_up_and_is_half_closed_once_no_leg_is_out_on_it(switch, monkeypatch):
    finished = []
    monkeypatch.setattr("gingergap.service.switch_connections.SwitchConnection.finish", lambda link, within: finished.append(link))
    link = switch.choose_link(set())
    connect(switch)
    link.retired, switch.owner.set_ups[link] = True, 1
    assert switch.choose_link(set()) is not link
    switch.check()
    assert not finished
    switch.owner.set_ups[link] = 0
    switch.check()
    assert finished == [link] and not link.closed


def test_a_lost_connection_is_replaced_at_once_while_calls_are_established(switch):
    """A release that crossed the close of its connection was repeated only on the next one opened, and while others stayed open
    none was: its caller never received it.
    """
    switch.owner.established = 1
    first = switch.choose_link(set())
    connect(switch)
    switch.owner.set_ups[first] = 1
    switch.choose_link(set())
    connect(switch)
    before = len(switch.links)
    first.close(True)
    switch.check()
    assert len(switch.links) == before and not switch.links[-1].up
    connect(switch)
    switch.check()
    assert len(switch.links) == before


# Guards against a release that is received seconds late: the connection on which it would have been repeated was late or failed,
# and no other was tried while some were open.
@pytest.mark.parametrize("failure", ["late", "failed"])
def test_the_replacement_of_a_lost_connection_is_retried(switch, failure):
    switch.owner.established = 1
    first = switch.choose_link(set())
    connect(switch)
    switch.owner.set_ups[first] = 1
    switch.choose_link(set())
    connect(switch)
    first.close(True)
    switch.check()
    renewal = switch.links[-1]
    if failure == "late":
        switch.owner.now += switch.connect_timeout + 0.1
    else:
        renewal.close(False)
    switch.check()
    assert switch.links[-1] is not renewal and not switch.links[-1].up


def test_a_silent_switch_is_probed_by_a_new_connection_and_lost_if_none_is_made(switch):
    switch.owner.established = 1
    switch.check()
    connect(switch)
    switch.owner.now += SILENCE_TIMEOUT + 0.1
    switch.check()
    assert len(switch.links) == 2
    connect(switch)  # the switch is reachable
    switch.owner.now += UNREACHABLE_TIMEOUT / 10_000 + 0.1
    for _ in range(30):
        switch.check()
        if switch.links and not switch.links[-1].up:
            switch.links[-1].close(False)
        switch.owner.now += RETRY_INTERVAL
    assert switch.owner.lost_switches == [switch] * len(switch.owner.lost_switches) and switch.owner.lost_switches
    assert not any(link.up for link in switch.links)


# Guards against a release that is spent on a connection while nobody can be told, and against a switch that counts as lost since
# attempts to connect were given up for that reason.
def test_no_connection_is_opened_where_a_release_may_wait_for_it(switch):
    switch.owner.established = 1
    switch.check(may_open=False)
    assert not switch.links and not switch.was_connected
    switch.check()
    assert len(switch.links) == 1
    switch.check(may_open=False)
    assert not switch.links
    switch.owner.now += UNREACHABLE_TIMEOUT / 10_000 + 1
    switch.check()
    assert len(switch.links) == 1 and not switch.owner.lost_switches
    connect(switch)
    assert switch.was_connected


NOTIFY = (
    b"NOTIFY sip:x@net SIP/2.0\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\nLink-State: idle:1\r\nContent-Length: 0\r\n\r\n"
)


# Guards against descriptors that run out in quiet traffic: each probe of a silent switch left a connection open (review 1).
@pytest.mark.parametrize("idle_links", [1, 4])
@pytest.mark.parametrize("switch_closes", [True, False])
def test_probes_of_a_silent_switch_do_not_add_connections(switch, monkeypatch, switch_closes, idle_links):
    switch.owner.idle_links = idle_links

    def finish(link, timeout):
        link.finishing = True
        if switch_closes:
            link.eof_received()
        link.close(True, "half-closed")

    monkeypatch.setattr("gingergap.service.switch_connections.SwitchConnection.finish", finish)
    switch.owner.calls = type("Calls", (), {"trunk_group_reported": lambda *args: None})()
    switch.owner.established = 1
    opened = set()
    for _ in range(600):
        switch.owner.now += 0.1
        switch.check()
        for link in list(switch.links):
            if not link.up:
                opened.add(link)
                link.up = True
                switch.link_up(link)
                link.data_received(NOTIFY)
        assert 1 <= len(switch.links) <= idle_links + 1 + (not switch_closes)
    assert len(switch.links) >= idle_links
    if switch_closes:
        assert len(opened) <= 60 / SILENCE_TIMEOUT + 1
    assert not switch.owner.lost_switches


# Guards against descriptors that run out while a switch hangs: its machine accepts the probes, and nothing is said on them.
def test_probes_of_a_switch_that_hangs_do_not_add_connections(switch):
    switch.owner.established = 1
    first = switch.choose_link(set())
    connect(switch)
    for _ in range(600):
        switch.owner.now += 0.1
        switch.check()
        if not switch.links[-1].up:
            connect(switch)
        assert len(switch.links) <= 1 + MAX_UNANSWERED_PROBES
    assert switch.links[0] is first and not switch.owner.lost_switches


def test_a_switch_counts_as_unreachable_after_one_failed_attempt_until_one_succeeds(switch):
    switch.choose_link(set()).close(False)
    assert switch.choose_link(set()) is None
    switch.owner.now += RETRY_INTERVAL
    switch.check()
    connect(switch)
    assert switch.choose_link(set()) is not None


# Guards against ending calls at a switch that runs: the process had no descriptor left, and took it for unreachable (review 1).
def test_a_connection_that_lacks_a_descriptor_says_nothing_of_its_switch(switch):
    switch.owner.established = 1
    for _ in range(60):
        link = switch.choose_link(set())
        link.lacks_resources = True
        link.close(False)
        switch.owner.now += 0.1
        switch.check()
    assert not switch.failing_since and not switch.owner.lost_switches


def test_reports_are_taken_from_one_connection_and_from_another_when_it_is_lost(switch):
    switch.owner.calls = type(
        "Calls", (), {"reports": [], "trunk_group_reported": lambda self, now, gw, report: self.reports.append(report)}
    )()
    first, second = switch.choose_link(set()), switch.choose_link(set())
    for link in (first, second):
        link.up = True
        switch.link_up(link)
    first.report_received({"idle": 1})
    second.report_received({"idle": 2})
    assert switch.owner.calls.reports == [{"idle": 1}]
    first.close(True)
    assert switch.owner.calls.reports == [{"idle": 1}, {"idle": 2}]


# Guards against a switch that is never reached because all its connections come up later than the connect timeout.
def test_a_connection_that_comes_up_late_is_used_and_its_legs_were_ended_before(switch):
    link = switch.choose_link(set())
    switch.owner.now += switch.connect_timeout + 0.1
    switch.check()
    assert link in switch.owner.lost_links and not link.closed
    assert switch.choose_link(set()) is None  # the switch counts as unreachable
    link.up = True
    switch.link_up(link)
    assert switch.choose_link(set()) is link


# Guards against answers discarded unread: after the process had been suspended, a message seemed to have stalled.
def test_a_connection_with_the_rest_of_a_message_unread_is_not_closed_as_stalled(switch):
    link = switch.choose_link(set())
    connect(switch)
    ours, peer = socket.socketpair()
    link.sock = ours
    link.parser.feed(b"SIP/2.0 200 OK\r\nCall-ID: ")
    link.last_read_at = switch.now()
    switch.owner.now += 2 * STALL_TIMEOUT
    peer.sendall(b"the rest")
    switch.check()
    assert not link.closed
    ours.recv(100)
    switch.check()
    assert link.closed
    peer.close()
