"""Calls at switches whose address is handed over, with a proxy process and switches on loopback (docs/incidents/report-4fae32.md).

The list's start of a switch is not the moment at which its process answers for the first time, nor the last answer of the
one before it.
"""

import pytest
import test_service_process as scripted

A = "a" * 16

start = scripted.start


def answered_after_the_start_of_the_next(service, caller):
    """The old process answers some milliseconds after the start that the list tells of its successor."""
    started = scripted.now_ms() - 20
    set_up(caller)
    replace(service, "s1")
    publish(service, entry(service, "s1", "terminated"), entry(service, "s1", uid="s11", started=started))


def next_is_listed_early(service, caller):
    """The list has the successor, and a set-up is sent to it, while the old process still has the address."""
    publish(service, entry(service, "s1", "terminated"), entry(service, "s1", uid="s11", started=scripted.now_ms()))
    set_up(caller)
    replace(service, "s1")


def next_is_listed_early_and_the_end_late(service, caller):
    publish(service, entry(service, "s1", uid="s11", started=scripted.now_ms()))
    set_up(caller)
    replace(service, "s1")
    publish(service, entry(service, "s1", "terminated"))


def same_id_comes_back(service, caller):
    """The old process answers after the start that the list tells of the next process under the same id."""
    started = scripted.now_ms() - 20
    set_up(caller)
    replace(service, "s1")
    publish(service, entry(service, "s1", started=started))


def two_changes_within_a_second(service, caller):
    """The call stands at the first of three processes; the list tells of the two others in one event."""
    started = scripted.now_ms() - 20
    set_up(caller)
    replace(service, "s1")
    replace(service, "s1")
    publish(
        service,
        entry(service, "s1", "terminated"),
        entry(service, "s1", "terminated", uid="s11", started=started),
        entry(service, "s1", uid="s21", started=started + 10),
    )


def set_up(caller):
    caller.set_up(A)
    assert caller.next()["type"] == "answer"


def replace(service, name):
    """The process of a switch dies, and another listens at its address at once: no attempt to connect is refused."""
    old = service.switches[name]
    service.process.send_signal(scripted.signal.SIGSTOP)
    old.die()
    service.switches[name] = scripted.Switch(address=old.address)
    service.process.send_signal(scripted.signal.SIGCONT)


def entry(service, name, state="in_service", uid="", started=0):
    return scripted.list_entry(uid or name, 1, service.switches[name].address, state) | {"boot_ms": started}


def publish(service, *entries):
    """Publish, and wait until the process has applied it."""
    offset = 2 + len(service.bus.events)
    service.bus.publish(*entries)
    while service.bus.requested.get(timeout=scripted.WAIT) < offset:
        pass


# Guards against a call that is never released: its switch's process has died, and the call is held to stand at the one that
# took the address, or the id, since it was answered after the start that the list tells of that one (report 4fae32).
@pytest.mark.parametrize(
    "handover",
    [
        answered_after_the_start_of_the_next,
        next_is_listed_early,
        next_is_listed_early_and_the_end_late,
        same_id_comes_back,
        two_changes_within_a_second,
    ],
)
def test_a_call_is_released_when_the_process_that_answered_it_has_died(start, handover):
    service = start()
    caller = service.caller()
    handover(service, caller)
    caller.sock.settimeout(8)  # seconds in which a call that is over is owed its release
    assert caller.next() == {"type": "release", "id": A, "fields": {}, "cause": 41}
