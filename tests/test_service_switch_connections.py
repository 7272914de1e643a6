"""The connections to one switch: which one a set-up gets, and when new ones are opened."""

import socket

import pytest

from gingergap.service.switch_connections import AGAIN, LOST, MOST_LINKS, SILENT, STALLED, SwitchConnections


class NotedOwner:
    def __init__(self):
        self.now, self.busy, self.standing, self.lost = 1000.0, {}, 0, []
        self.lost_links = []

    def clock(self):
        return int(self.now * 10_000)

    def link_up(self, link):
        pass

    def link_lost(self, link, was_up):
        self.lost_links.append(link)

    def link_busy(self, link):
        return self.busy.get(link, 0)

    def standing_at(self, switch):
        return self.standing

    def machine_lost(self, switch):
        self.lost.append(switch)

    def spoilt_by(self, link, why):
        pass


@pytest.fixture
def switch(monkeypatch):
    """Nothing is connected; tests say what comes up."""
    monkeypatch.setattr("gingergap.service.switch_connections.gevent.spawn", lambda *args: None)
    return SwitchConnections(NotedOwner(), 1, ("127.0.0.1", 9), 0.5)


def up(switch):
    link = switch.links[-1]
    link.up = True
    switch.came_up(link)
    return link


def test_each_set_up_has_a_connection_of_its_own_until_there_are_enough(switch):
    links = []
    for _ in range(MOST_LINKS):
        links.append(switch.link_to(set()))
        up(switch)
        switch.owner.busy[links[-1]] = 1
    assert len(set(links)) == MOST_LINKS
    switch.owner.busy[links[2]] = 0
    assert switch.link_to(set()) is links[2]
    switch.owner.busy = {link: 5 - place for place, link in enumerate(links)}
    assert switch.link_to(set()) is links[-1]
    assert switch.link_to({links[-1]}) is links[-2]


def test_a_retired_connection_gets_nothing_and_is_finished_when_nothing_is_out_on_it(switch, monkeypatch):
    finished = []
    monkeypatch.setattr("gingergap.service.switch_connections.SwitchConnection.finish", lambda link, within: finished.append(link))
    link = switch.link_to(set())
    up(switch)
    link.retired, switch.owner.busy[link] = True, 1
    assert switch.link_to(set()) is not link
    switch.look()
    assert not finished
    switch.owner.busy[link] = 0
    switch.look()
    assert finished == [link] and not link.closed


def test_a_lost_connection_is_followed_by_another_at_once_where_calls_stand(switch):
    """A release that crossed the close of its connection was sent again only on the next that was opened, and while
    others stayed open none was: its caller was never told."""
    switch.owner.standing = 1
    first = switch.link_to(set())
    up(switch)
    switch.owner.busy[first] = 1
    switch.link_to(set())
    up(switch)
    before = len(switch.links)
    first.close(True)
    switch.look()
    assert len(switch.links) == before and not switch.links[-1].up
    up(switch)
    switch.look()
    assert len(switch.links) == before


# Guards against a release that is heard seconds late: the connection on which it would have come again was late or failed, and
# no other was tried while some were open.
@pytest.mark.parametrize("how", ["late", "failed"])
def test_a_connection_in_place_of_a_lost_one_is_tried_again(switch, how):
    switch.owner.standing = 1
    first = switch.link_to(set())
    up(switch)
    switch.owner.busy[first] = 1
    switch.link_to(set())
    up(switch)
    first.close(True)
    switch.look()
    renewal = switch.links[-1]
    if how == "late":
        switch.owner.now += switch.connect_timeout + 0.1
    else:
        renewal.close(False)
    switch.look()
    assert switch.links[-1] is not renewal and not switch.links[-1].up


def test_a_silent_machine_is_asked_by_a_new_connection_and_lost_when_none_is_made(switch):
    switch.owner.standing = 1
    switch.look()
    up(switch)
    switch.owner.now += SILENT + 0.1
    switch.look()
    assert len(switch.links) == 2
    up(switch)  # somebody is there
    switch.owner.now += LOST + 0.1
    for _ in range(30):
        switch.look()
        if switch.links and not switch.links[-1].up:
            switch.links[-1].close(False)
        switch.owner.now += AGAIN
    assert switch.owner.lost == [switch] * len(switch.owner.lost) and switch.owner.lost
    assert not any(link.up for link in switch.links)


def test_nobody_there_is_known_at_once_after_one_failed_try_and_forgotten_when_one_is_made(switch):
    switch.link_to(set()).close(False)
    assert switch.link_to(set()) is None
    switch.owner.now += AGAIN
    switch.look()
    up(switch)
    assert switch.link_to(set()) is not None


def test_states_are_taken_from_one_connection_and_from_another_when_it_is_lost(switch):
    switch.owner.calls = type("Noted", (), {"told": [], "reported": lambda self, now, gw, report: self.told.append(report)})()
    first, second = switch.link_to(set()), switch.link_to(set())
    for link in (first, second):
        link.up = True
        switch.came_up(link)
    first.reported({"idle": 1})
    second.reported({"idle": 2})
    assert switch.owner.calls.told == [{"idle": 1}]
    first.close(True)
    assert switch.owner.calls.told == [{"idle": 1}, {"idle": 2}]


# Guards against a switch whose connections all come up later than the time for one, which was never reached at all.
def test_a_connection_that_comes_up_late_is_used_and_its_legs_have_gone_elsewhere(switch):
    link = switch.link_to(set())
    switch.owner.now += switch.connect_timeout + 0.1
    switch.look()
    assert link in switch.owner.lost_links and not link.closed
    assert switch.link_to(set()) is None  # nobody is known to be there
    link.up = True
    switch.came_up(link)
    assert switch.link_to(set()) is link


# Guards against answers thrown away unread: the process had stood still, and a message seemed to have stalled.
def test_a_connection_with_the_rest_of_a_message_to_be_read_is_not_closed_as_stalled(switch):
    link = switch.link_to(set())
    up(switch)
    ours, peer = socket.socketpair()
    link.sock = ours
    link.reader.feed(b"SIP/2.0 200 OK\r\nCall-ID: ")
    link.heard_at = switch.now()
    switch.owner.now += 2 * STALLED
    peer.sendall(b"the rest")
    switch.look()
    assert not link.closed
    ours.recv(100)
    switch.look()
    assert link.closed
    peer.close()
