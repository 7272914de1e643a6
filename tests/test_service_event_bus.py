"""Failures of the event bus: within what time a running process has applied a drain."""

import asyncio
import tempfile
from pathlib import Path

import pytest
from trial import DRAIN_LIMIT_AFTER_FAULT, DRAIN_LIMIT_AFTER_RELOAD, Trial, now, topology_entry
from trial_peers import BusFault, Reply


def seconds_until_applied(scenario):
    """Seconds from the return of `scenario` until the process requests the events after its drain; 15 if it does not."""

    async def play(folder):
        trial = Trial(1, Path(folder))
        await trial.start([[Reply.ANSWER], [Reply.ANSWER]])
        await asyncio.sleep(0.5)
        bus, number, since = await scenario(trial)
        while not any(after >= number for _, after in bus.requests):
            if now() - since > 15:
                return 15.0
            await asyncio.sleep(0.02)
        delay = next(at for at, after in bus.requests if after >= number) - since
        await trial.finish(0)
        return delay

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(folder))


def publish_drain(trial):
    trial.publish(topology_entry(trial.switches[0], "terminating"))
    return len(trial.buses[0].events)


# Guards against report 319500's second symptom: responses that arrive complete, but later than the timeout of a request.
@pytest.mark.parametrize(
    ("fault", "delay"),
    [(BusFault.SLOW, 1.2), (BusFault.SLOW, 2.0), (BusFault.SLOW, 3.5), (BusFault.DRIP, 3.0), (BusFault.SLOW, 4.5)],
)
def test_a_drain_is_applied_while_the_bus_responds_slowly(fault, delay):
    async def scenario(trial):
        bus = trial.buses[0]
        bus.set_fault(fault, delay)
        await asyncio.sleep(2.0)
        return bus, publish_drain(trial), now()

    assert seconds_until_applied(scenario) < DRAIN_LIMIT_AFTER_FAULT


# Guards against requests that keep waiting on a bus which has recovered in the meantime.
@pytest.mark.parametrize("fault", [BusFault.SILENT, BusFault.BREAKS, BusFault.GARBLED])
def test_a_drain_is_applied_soon_after_the_bus_has_recovered(fault):
    async def scenario(trial):
        bus = trial.buses[0]
        bus.set_fault(fault)
        await asyncio.sleep(3.0)
        number = publish_drain(trial)
        await asyncio.sleep(0.3)
        bus.set_fault(BusFault.NONE)
        return bus, number, now()

    assert seconds_until_applied(scenario) < DRAIN_LIMIT_AFTER_FAULT


# Guards against a bus that was down being retried too late.
def test_a_drain_just_before_the_return_of_the_bus_is_applied(tmp_path):
    async def scenario(trial):
        bus = trial.buses[0]
        bus.stop_listening()
        bus.reset_all()
        await asyncio.sleep(4.0)
        number = publish_drain(trial)
        await bus.listen()
        return bus, number, now()

    assert seconds_until_applied(scenario) < DRAIN_LIMIT_AFTER_FAULT


# Guards against configurations reloaded in quick succession leaving the process on a bus that has gone, or ignoring a slow one.
@pytest.mark.parametrize("delay", [0.0, 2.0])
def test_the_last_of_several_configurations_is_followed_while_responses_are_pending(delay):
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
        return buses[-1], publish_drain(trial), since

    assert seconds_until_applied(scenario) < DRAIN_LIMIT_AFTER_RELOAD
