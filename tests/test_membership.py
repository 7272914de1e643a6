"""Members in a simulated network, and the bytes between them."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gingergap.membership.codec import TAG, DatagramCodec, Refused, Replays
from gingergap.membership.simulated import Network
from gingergap.membership.swim import SECOND, MemberState, Update


def network(count, seed=1, **how):
    net = Network(seed, **how)
    seeds = tuple(f"at-m{number}" for number in range(min(3, count)))
    nodes = [net.start(f"m{number}", seeds=seeds) for number in range(count)]
    names = {node.name for node in nodes}
    net.run(60 * SECOND, lambda: net.agree(names))
    assert net.agree(names)
    return net, nodes, names


@pytest.mark.parametrize("count", [1, 2, 3, 8, 60])
def test_all_find_each_other_and_notice_who_dies(count):
    net, nodes, names = network(count)
    assert all(set(node.ups) == names - {node.name} for node in nodes)
    if count == 1:
        return
    net.stop(nodes[-1])
    left = names - {nodes[-1].name}
    net.run(60 * SECOND, lambda: net.agree(left))
    assert net.agree(left)
    assert all([name for _, name, _ in node.downs] == [nodes[-1].name] for node in nodes[:-1])


def test_who_leaves_is_gone_at_once_and_for_good():
    net, nodes, names = network(6)
    nodes[2].members.leave(net.now)
    took = net.run(10 * SECOND, lambda: all("m2" not in node.members.active_members() for node in nodes))
    assert took < 3 * SECOND
    net.run(20 * SECOND)
    assert all(("m2", True) in [entry[1:] for entry in node.downs] for node in nodes if node.name != "m2")
    assert net.agree(names - {"m2"})


def test_a_restart_under_the_same_name_is_a_new_life():
    net, nodes, names = network(5)
    net.stop(nodes[1])
    net.run(SECOND // 2)
    again = net.start("m1", generation=2, seeds=("at-m0",))
    net.run(60 * SECOND, lambda: all(node.members.others["m1"].generation == 2 for node in nodes if node.name != "m1"))
    assert net.agree(names)
    assert not again.taken


def test_all_restarted_within_a_moment_find_each_other_again():
    net, nodes, names = network(6)
    for node in nodes:
        net.stop(node)
        net.run(SECOND // 100)
        net.start(node.name, generation=2, seeds=("at-m0", "at-m1", "at-m2"))
    net.run(60 * SECOND, lambda: net.agree(names))
    net.run(20 * SECOND)
    assert net.agree(names)
    assert all(member.generation == 2 for node in net.nodes.values() for member in node.members.others.values())


def test_two_under_one_name_the_younger_stays_out():
    net, nodes, names = network(5)
    impostor = net.start("m1", generation=9, address="elsewhere", seeds=("at-m0",))
    net.run(20 * SECOND)
    assert set(impostor.taken) == {"at-m1"} and not nodes[1].taken
    assert all(node.members.others["m1"].generation == 1 for node in nodes if node.name != "m1")
    net.stop(nodes[1])  # once the elder is gone the younger may have the name
    net.run(90 * SECOND, lambda: all(node.members.others["m1"].generation == 9 for node in nodes if node.name != "m1"))
    assert all(node.members.others["m1"].address == "elsewhere" for node in nodes if node.name != "m1")


@pytest.mark.parametrize("parts", [2, 3])
def test_a_split_leaves_parts_that_agree_and_heals(parts):
    net, nodes, names = network(9)
    side = {node.name: number % parts for number, node in enumerate(nodes)}
    net.cut = lambda source, target: side[source] != side[target]
    groups = [{name for name in names if side[name] == part} for part in range(parts)]
    net.run(90 * SECOND, lambda: all(net.agree(group) for group in groups))
    assert all(net.agree(group) for group in groups)
    net.cut = lambda source, target: False
    net.run(90 * SECOND, lambda: net.agree(names))
    assert net.agree(names)


def test_one_way_loss_and_a_flapping_link_are_bridged_by_others():
    net, nodes, names = network(8)
    net.cut = lambda source, target: (source, target) == ("m0", "m1")
    net.run(40 * SECOND)
    assert net.agree(names)
    net.cut = lambda source, target: {source, target} == {"m2", "m3"} and net.now // SECOND % 2 == 0
    net.run(40 * SECOND)
    assert net.agree(names)
    assert not [down for node in nodes for down in node.downs]


def test_one_that_stands_still_for_a_while_doubts_itself_not_all_others():
    net, nodes, names = network(8)
    net.pause(nodes[0], 30 * SECOND)
    net.run(29 * SECOND)
    assert all("m0" not in node.members.active_members() for node in nodes[1:])
    net.run(60 * SECOND, lambda: net.agree(names))
    assert net.agree(names)
    assert not nodes[0].downs  # on waking it declared nobody dead
    assert nodes[0].members.false_alarms >= 1


def test_one_that_is_slow_but_alive_is_not_declared_dead_and_declares_nobody():
    net, nodes, names = network(8)
    slow = nodes[0]
    for _ in range(60):  # runs a quarter of a second, stands still a third
        net.pause(slow, SECOND // 3)
        net.run(SECOND * 7 // 12)
    assert not [down for node in nodes for down in node.downs]
    assert net.agree(names)


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_losses_raise_no_false_deaths(loss):
    net, nodes, _ = network(12, loss=loss)
    net.run(120 * SECOND)
    assert not [down for node in nodes for down in node.downs]


def test_each_message_is_bounded_however_many_there_are():
    net, nodes, _ = network(30)
    largest = 0
    for node in nodes:
        send = node.send

        def watched(to, address, message, send=send):
            nonlocal largest
            largest = max(largest, len(msgspec.msgpack.encode(message)))
            send(to, address, message)

        node.send = watched
    net.stop(nodes[3])
    net.stop(nodes[4])
    net.run(30 * SECOND)
    assert 0 < largest < 8_000


def test_a_word_of_an_older_incarnation_changes_nothing():
    net, nodes, names = network(3)
    member = nodes[0].members.others["m1"]
    member.incarnation = 7
    for state in MemberState:
        nodes[0].members._hear([Update("m1", "wrong", 1, 6, int(state))])
    assert member.state == MemberState.ALIVE and member.address == "at-m1"


UPDATES = st.builds(
    Update,
    name=st.sampled_from(["m0", "m1", "m2", "x"]),
    address=st.sampled_from(["at-m1", "at-x", ""]),
    generation=st.integers(0, 3),
    incarnation=st.integers(0, 5),
    state=st.integers(-1, 6),
    weight=st.integers(0, 3),
    by=st.sampled_from(["", "m1", "m2"]),
)


@given(st.lists(UPDATES, max_size=30))
@settings(max_examples=60, derandomize=True, deadline=None)
def test_no_words_bring_a_member_down_nor_make_it_forget_itself(words):
    net, nodes, names = network(3)
    nodes[0].members._hear(words)
    net.run(5 * SECOND)
    if not nodes[0].members.suspended:
        assert "m0" in nodes[0].members.active_members()


def test_one_that_stays_alone_asks_at_a_steady_rate():
    net, nodes, _ = network(2)
    net.stop(nodes[1])
    net.run(30 * SECOND)
    nodes[0].sent = 0
    net.run(60 * SECOND)
    assert 60 <= nodes[0].sent <= 300 and len(nodes[0].members.heap) < 10


# --- bytes ---


def pair():
    return DatagramCodec(b"k" * 32, "a", 1), DatagramCodec(b"k" * 32, "b", 2)


def test_what_is_sealed_is_opened_once():
    a, b = pair()
    data = a.seal("b", 0, b"hello")
    assert b.open(data) == ("a", 1, 0, b"hello")
    with pytest.raises(Refused, match="replay"):
        b.open(data)


@given(st.integers(0, 200), st.integers(0, 7))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_one_changed_bit_is_refused(place, bit):
    a, b = pair()
    data = bytearray(a.seal("b", 0, b"hello"))
    data[place % len(data)] ^= 1 << bit
    with pytest.raises(Refused, match="tag"):
        b.open(bytes(data))


@pytest.mark.parametrize(
    ("make", "why"),
    [
        (lambda: DatagramCodec(b"x" * 32, "a", 1).seal("b", 0, b""), "tag"),
        (lambda: DatagramCodec(b"k" * 32, "a", 1).seal("c", 0, b""), "address"),
        (lambda: DatagramCodec(b"k" * 32, "b", 2).seal("b", 0, b""), "address"),
        (lambda: b"short", "form"),
        (lambda: b"x" * 70_000, "form"),
    ],
)
def test_what_is_not_for_us_is_refused(make, why):
    with pytest.raises(Refused, match=why):
        pair()[1].open(make())


@pytest.mark.parametrize(
    ("body", "why"),
    [(b"\x97\x02" + b"\xa0" * 6, "version"), (b"\x97\x01\x01", "form"), (b"\xc0", "version"), (b"", "form"), (b"\x97\x01", "form")],
)
def test_a_right_tag_on_another_form_is_refused(body, why):
    import hmac

    with pytest.raises(Refused, match=why):
        pair()[1].open(body + hmac.digest(b"k" * 32, body, "sha256")[:TAG])


@given(st.lists(st.integers(1, 600), max_size=80))
@settings(derandomize=True, deadline=None)
def test_a_count_is_taken_once_whatever_the_order(counts):
    replays, taken = Replays(), set()
    for count in counts:
        if replays.fresh("a", 1, count):
            assert count not in taken
            taken.add(count)
        else:
            assert count in taken or max(taken) - count >= 256
