"""The connections to one switch: which one a set-up gets, and when new ones are opened."""

import pytest

from gingergap.service.far import AGAIN, LOST, MOST_LINKS, SILENT, Far


class NotedOwner:
    def __init__(self):
        self.now, self.busy, self.standing, self.lost = 1000.0, {}, 0, []

    def clock(self):
        return int(self.now * 10_000)

    def link_up(self, link):
        pass

    def link_lost(self, link, was_up):
        pass

    def link_busy(self, link):
        return self.busy.get(link, 0)

    def standing_at(self, far):
        return self.standing

    def machine_lost(self, far):
        self.lost.append(far)

    def spoilt_by(self, link, why):
        pass


@pytest.fixture
def far(monkeypatch):
    """Nothing is connected; tests say what comes up."""
    monkeypatch.setattr("gingergap.service.far.gevent.spawn", lambda *args: None)
    return Far(NotedOwner(), 1, ("127.0.0.1", 9), 0.5)


def up(far):
    link = far.links[-1]
    link.up = True
    far.came_up(link)
    return link


def test_each_set_up_has_a_connection_of_its_own_until_there_are_enough(far):
    links = []
    for _ in range(MOST_LINKS):
        links.append(far.link_to(set()))
        up(far)
        far.owner.busy[links[-1]] = 1
    assert len(set(links)) == MOST_LINKS
    far.owner.busy[links[2]] = 0
    assert far.link_to(set()) is links[2]
    far.owner.busy = {link: 5 - place for place, link in enumerate(links)}
    assert far.link_to(set()) is links[-1]
    assert far.link_to({links[-1]}) is links[-2]


def test_a_retired_connection_gets_nothing_and_is_finished_when_nothing_is_out_on_it(far, monkeypatch):
    finished = []
    monkeypatch.setattr("gingergap.service.far.Link.finish", lambda link, within: finished.append(link))
    link = far.link_to(set())
    up(far)
    link.retired, far.owner.busy[link] = True, 1
    assert far.link_to(set()) is not link
    far.look()
    assert not finished
    far.owner.busy[link] = 0
    far.look()
    assert finished == [link] and not link.closed


def test_a_lost_connection_is_followed_by_another_at_once_where_calls_stand(far):
    """A release that crossed the close of its connection was sent again only on the next that was opened, and while
    others stayed open none was: its caller was never told."""
    far.owner.standing = 1
    first = far.link_to(set())
    up(far)
    far.owner.busy[first] = 1
    far.link_to(set())
    up(far)
    before = len(far.links)
    first.close(True)
    far.look()
    assert len(far.links) == before and not far.links[-1].up
    up(far)
    far.look()
    assert len(far.links) == before


def test_a_silent_machine_is_asked_by_a_new_connection_and_lost_when_none_is_made(far):
    far.owner.standing = 1
    far.look()
    up(far)
    far.owner.now += SILENT + 0.1
    far.look()
    assert len(far.links) == 2
    up(far)  # somebody is there
    far.owner.now += LOST + 0.1
    for _ in range(30):
        far.look()
        if far.links and not far.links[-1].up:
            far.links[-1].close(False)
        far.owner.now += AGAIN
    assert far.owner.lost == [far] * len(far.owner.lost) and far.owner.lost
    assert not any(link.up for link in far.links)


def test_nobody_there_is_known_at_once_after_one_failed_try_and_forgotten_when_one_is_made(far):
    far.link_to(set()).close(False)
    assert far.link_to(set()) is None
    far.owner.now += AGAIN
    far.look()
    up(far)
    assert far.link_to(set()) is not None


def test_states_are_taken_from_one_connection_and_from_another_when_it_is_lost(far):
    far.owner.calls = type("Noted", (), {"told": [], "reported": lambda self, now, gw, report: self.told.append(report)})()
    first, second = far.link_to(set()), far.link_to(set())
    for link in (first, second):
        link.up = True
        far.came_up(link)
    first.reported({"idle": 1})
    second.reported({"idle": 2})
    assert far.owner.calls.told == [{"idle": 1}]
    first.close(True)
    assert far.owner.calls.told == [{"idle": 1}, {"idle": 2}]
