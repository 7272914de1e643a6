"""Membership in a simulated network, and the encoding of its datagrams."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.membership.codec import TAG_LENGTH, DatagramCodec, DatagramRejectedError, ReplayFilter
from gingergap.membership.simulated import Network
from gingergap.membership.swim import SECOND, MemberState, Update


def converged_network(count, seed=1, **options):
    net = Network(seed, **options)
    seeds = tuple(f"at-m{number}" for number in range(min(3, count)))
    nodes = [net.start(f"m{number}", seeds=seeds) for number in range(count)]
    names = {node.name for node in nodes}
    net.run(60 * SECOND, lambda: net.has_converged(names))
    assert net.has_converged(names)
    return net, nodes, names


@pytest.mark.parametrize("count", [1, 2, 3, 8, 60])
def test_all_members_find_each_other_and_detect_a_dead_one(count):
    net, nodes, names = converged_network(count)
    assert all(set(node.joined) == names - {node.name} for node in nodes)
    if count == 1:
        return
    net.stop(nodes[-1])
    remaining = names - {nodes[-1].name}
    net.run(60 * SECOND, lambda: net.has_converged(remaining))
    assert net.has_converged(remaining)
    assert all([name for _, name, _ in node.departed] == [nodes[-1].name] for node in nodes[:-1])


def test_a_member_that_leaves_is_removed_at_once_and_stays_removed():
    net, nodes, names = converged_network(6)
    nodes[2].members.leave(net.now)
    duration = net.run(10 * SECOND, lambda: all("m2" not in node.members.active_members() for node in nodes))
    assert duration < 3 * SECOND
    net.run(20 * SECOND)
    assert all(("m2", True) in [entry[1:] for entry in node.departed] for node in nodes if node.name != "m2")
    assert net.has_converged(names - {"m2"})


def test_a_restart_under_the_same_name_is_a_new_generation():
    net, nodes, names = converged_network(5)
    net.stop(nodes[1])
    net.run(SECOND // 2)
    restarted = net.start("m1", generation=2, seeds=("at-m0",))
    net.run(60 * SECOND, lambda: all(node.members.others["m1"].generation == 2 for node in nodes if node.name != "m1"))
    assert net.has_converged(names)
    assert not restarted.name_conflicts


def test_members_that_all_restart_within_a_moment_find_each_other_again():
    net, nodes, names = converged_network(6)
    for node in nodes:
        net.stop(node)
        net.run(SECOND // 100)
        net.start(node.name, generation=2, seeds=("at-m0", "at-m1", "at-m2"))
    net.run(60 * SECOND, lambda: net.has_converged(names))
    net.run(20 * SECOND)
    assert net.has_converged(names)
    assert all(member.generation == 2 for node in net.nodes.values() for member in node.members.others.values())


def test_of_two_instances_with_one_name_the_younger_suspends_itself():
    net, nodes, names = converged_network(5)
    younger = net.start("m1", generation=9, address="elsewhere", seeds=("at-m0",))
    net.run(20 * SECOND)
    assert set(younger.name_conflicts) == {"at-m1"} and not nodes[1].name_conflicts
    assert all(node.members.others["m1"].generation == 1 for node in nodes if node.name != "m1")
    net.stop(nodes[1])  # once the older instance has stopped, the younger one may use the name
    net.run(90 * SECOND, lambda: all(node.members.others["m1"].generation == 9 for node in nodes if node.name != "m1"))
    assert all(node.members.others["m1"].address == "elsewhere" for node in nodes if node.name != "m1")


@pytest.mark.parametrize("parts", [2, 3])
def test_each_side_of_a_partition_converges_and_all_do_once_it_heals(parts):
    net, nodes, names = converged_network(9)
    side = {node.name: number % parts for number, node in enumerate(nodes)}
    net.is_blocked = lambda source, target: side[source] != side[target]
    groups = [{name for name in names if side[name] == part} for part in range(parts)]
    net.run(90 * SECOND, lambda: all(net.has_converged(group) for group in groups))
    assert all(net.has_converged(group) for group in groups)
    net.is_blocked = lambda source, target: False
    net.run(90 * SECOND, lambda: net.has_converged(names))
    assert net.has_converged(names)


def test_indirect_probes_compensate_one_way_loss_and_a_flapping_link():
    net, nodes, names = converged_network(8)
    net.is_blocked = lambda source, target: (source, target) == ("m0", "m1")
    net.run(40 * SECOND)
    assert net.has_converged(names)
    net.is_blocked = lambda source, target: {source, target} == {"m2", "m3"} and net.now // SECOND % 2 == 0
    net.run(40 * SECOND)
    assert net.has_converged(names)
    assert not [entry for node in nodes for entry in node.departed]


def test_a_paused_member_declares_nobody_dead_when_it_resumes():
    net, nodes, names = converged_network(8)
    net.pause(nodes[0], 30 * SECOND)
    net.run(29 * SECOND)
    assert all("m0" not in node.members.active_members() for node in nodes[1:])
    net.run(60 * SECOND, lambda: net.has_converged(names))
    assert net.has_converged(names)
    assert not nodes[0].departed
    assert nodes[0].members.false_alarms >= 1


def test_a_slow_member_is_not_declared_dead_and_declares_nobody_dead():
    net, nodes, names = converged_network(8)
    slow = nodes[0]
    for _ in range(60):  # paused for a third of a second, then running for a quarter
        net.pause(slow, SECOND // 3)
        net.run(SECOND * 7 // 12)
    assert not [entry for node in nodes for entry in node.departed]
    assert net.has_converged(names)


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_message_loss_causes_no_false_deaths(loss):
    net, nodes, _ = converged_network(12, loss=loss)
    net.run(120 * SECOND)
    assert not [entry for node in nodes for entry in node.departed]


def test_the_size_of_messages_is_bounded():
    net, nodes, _ = converged_network(30)
    largest = 0
    for node in nodes:
        send = node.send

        def measured_send(to, address, message, send=send):
            nonlocal largest
            largest = max(largest, len(msgspec.msgpack.encode(message)))
            send(to, address, message)

        node.send = measured_send
    net.stop(nodes[3])
    net.stop(nodes[4])
    net.run(30 * SECOND)
    assert 0 < largest < 8_000


def test_an_update_of_an_older_incarnation_is_ignored():
    net, nodes, names = converged_network(3)
    member = nodes[0].members.others["m1"]
    member.incarnation = 7
    for state in MemberState:
        nodes[0].members._apply_updates([Update("m1", "wrong", 1, 6, int(state))])
    assert member.state == MemberState.ALIVE and member.address == "at-m1"


UPDATES = st.builds(
    Update,
    name=st.sampled_from(["m0", "m1", "m2", "x"]),
    address=st.sampled_from(["at-m1", "at-x", ""]),
    generation=st.integers(0, 3),
    incarnation=st.integers(0, 5),
    state=st.integers(-1, 6),
    weight=st.integers(0, 3),
    reporter=st.sampled_from(["", "m1", "m2"]),
)


@given(st.lists(UPDATES, max_size=30))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_arbitrary_updates_neither_raise_nor_remove_the_member_itself(updates):
    net, nodes, names = converged_network(3)
    nodes[0].members._apply_updates(updates)
    net.run(5 * SECOND)
    if not nodes[0].members.suspended:
        assert "m0" in nodes[0].members.active_members()


def test_a_member_that_stays_alone_sends_at_a_steady_rate():
    net, nodes, _ = converged_network(2)
    net.stop(nodes[1])
    net.run(30 * SECOND)
    nodes[0].sent = 0
    net.run(60 * SECOND)
    assert 60 <= nodes[0].sent <= 300 and len(nodes[0].members.timers) < 10


# --- datagrams ---


def codec_pair():
    return DatagramCodec(b"k" * 32, "a", 1), DatagramCodec(b"k" * 32, "b", 2)


def test_a_datagram_is_decoded_once():
    sender, receiver = codec_pair()
    data = sender.encode("b", 0, b"hello")
    assert receiver.decode(data) == ("a", 1, 0, b"hello")
    with pytest.raises(DatagramRejectedError, match="replay"):
        receiver.decode(data)


@given(st.integers(0, 200), st.integers(0, 7))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_a_datagram_with_one_changed_bit_is_rejected(position, bit):
    sender, receiver = codec_pair()
    data = bytearray(sender.encode("b", 0, b"hello"))
    data[position % len(data)] ^= 1 << bit
    with pytest.raises(DatagramRejectedError, match="tag"):
        receiver.decode(bytes(data))


@pytest.mark.parametrize(
    ("make_datagram", "reason"),
    [
        (lambda: DatagramCodec(b"x" * 32, "a", 1).encode("b", 0, b""), "tag"),
        (lambda: DatagramCodec(b"k" * 32, "a", 1).encode("c", 0, b""), "address"),
        (lambda: DatagramCodec(b"k" * 32, "b", 2).encode("b", 0, b""), "address"),
        (lambda: b"short", "form"),
        (lambda: b"x" * 70_000, "form"),
    ],
)
def test_a_datagram_that_is_forged_misaddressed_or_malformed_is_rejected(make_datagram, reason):
    with pytest.raises(DatagramRejectedError, match=reason):
        codec_pair()[1].decode(make_datagram())


@pytest.mark.parametrize(
    ("body", "reason"),
    [(b"\x97\x02" + b"\xa0" * 6, "version"), (b"\x97\x01\x01", "form"), (b"\xc0", "version"), (b"", "form"), (b"\x97\x01", "form")],
)
def test_a_malformed_datagram_with_a_valid_tag_is_rejected(body, reason):
    import hmac

    with pytest.raises(DatagramRejectedError, match=reason):
        codec_pair()[1].decode(body + hmac.digest(b"k" * 32, body, "sha256")[:TAG_LENGTH])


@given(st.lists(st.integers(1, 600), max_size=80))
@settings(derandomize=True, deadline=None)
def test_a_sequence_number_is_accepted_once_in_any_order(numbers):
    replay_filter, accepted = ReplayFilter(), set()
    for number in numbers:
        if replay_filter.accept("a", 1, number):
            assert number not in accepted
            accepted.add(number)
        else:
            assert number in accepted or max(accepted) - number >= 256
