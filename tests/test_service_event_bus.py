"""The event bus in trouble: when a running process has heard of a drain at the latest."""

import asyncio
import tempfile
from pathlib import Path

import pytest
from trial import TOLD_AFTER_RELOAD, TOLD_AFTER_TROUBLE, Trial, entry, now
from trial_peers import BusFault, Reply


def heard_after(scenario):
    """Seconds from the moment that `scenario` returns, until the process asks for what comes after that number."""

    async def play(folder):
        trial = Trial(1, Path(folder))
        await trial.begin([[Reply.ANSWER], [Reply.ANSWER]])
        await asyncio.sleep(0.5)
        bus, number, since = await scenario(trial)
        while not any(after >= number for _, after in bus.asked):
            if now() - since > 15:
                return 15.0
            await asyncio.sleep(0.02)
        heard = next(at for at, after in bus.asked if after >= number) - since
        await trial.end(0)
        return heard

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(folder))


def drain(trial):
    trial.tell(entry(trial.switches[0], "terminating"))
    return len(trial.buses[0].events)


# Guards against report 319500's second symptom: answers that come whole, but later than the one bound on a question.
@pytest.mark.parametrize(
    ("fault", "delay"),
    [(BusFault.SLOW, 1.2), (BusFault.SLOW, 2.0), (BusFault.SLOW, 3.5), (BusFault.DRIP, 3.0), (BusFault.SLOW, 4.5)],
)
def test_a_drain_is_heard_of_while_the_bus_answers_slowly(fault, delay):
    async def scenario(trial):
        bus = trial.buses[0]
        bus.set_fault(fault, delay)
        await asyncio.sleep(2.0)
        return bus, drain(trial), now()

    assert heard_after(scenario) < TOLD_AFTER_TROUBLE


# Guards against questions that wait on a bus which has come back in the meantime.
@pytest.mark.parametrize("fault", [BusFault.SILENT, BusFault.BREAKS, BusFault.GARBLED])
def test_a_drain_is_heard_of_soon_after_the_bus_has_recovered(fault):
    async def scenario(trial):
        bus = trial.buses[0]
        bus.set_fault(fault)
        await asyncio.sleep(3.0)
        number = drain(trial)
        await asyncio.sleep(0.3)
        bus.set_fault(BusFault.NONE)
        return bus, number, now()

    assert heard_after(scenario) < TOLD_AFTER_TROUBLE


# Guards against a bus that was down being asked again too late.
def test_a_drain_close_to_the_return_of_the_bus_is_heard_of(tmp_path):
    async def scenario(trial):
        bus = trial.buses[0]
        bus.stop_listening()
        bus.reset_all()
        await asyncio.sleep(4.0)
        number = drain(trial)
        await bus.listen()
        return bus, number, now()

    assert heard_after(scenario) < TOLD_AFTER_TROUBLE


# Guards against new configurations in quick succession leaving the process with a bus that is gone, or a slow one unheard.
@pytest.mark.parametrize("delay", [0.0, 2.0])
def test_the_last_of_several_new_configurations_counts_while_answers_are_on_their_way(delay):
    async def scenario(trial):
        buses = [await trial.new_bus() for _ in range(3)]
        for bus in buses:
            bus.set_fault(BusFault.SLOW, delay)
            trial.node.reload(bus)
            await asyncio.sleep(0.02)
        since = now()
        for bus in trial.buses[:-1]:
            bus.stop_listening()
            bus.reset_all()
        return buses[-1], drain(trial), since

    assert heard_after(scenario) < TOLD_AFTER_RELOAD
