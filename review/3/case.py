"""The holder of the placement lease gets SIGTERM and is killed while it stops; the next holder gets
SIGTERM soon after its first order. The first machine's new process takes the lease at once."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import adapters
import standins

LEASE_S = 3.0
ROUNDS, ROUND_S = 5, 14.0


class Turns:
    """The orders that arrive at the runner, as turns of their holders."""

    def __init__(self, record):
        self.record = record
        self.turns = []  # [holder, time of the first order, time of the last order]
        self.broken = False

    @property
    def holder(self):
        return self.turns[-1][0]

    def arrive(self, order):
        now = time.monotonic()
        holder = order["holder"]
        if self.turns and self.holder == holder:
            self.turns[-1][2] = now
            return
        if self.turns:
            self.record.write(f"last order of {self.holder} in its turn arrived "
                              f"{(now - self.turns[-1][2]) * 1000:.0f} ms ago")
        self.turns.append([holder, now, now])
        self.record.write(f"first order of {holder} in its turn arrives at the runner: "
                          f"fence {order['fence']}, {order['op']} {order.get('adapter')}")
        if len(self.turns) >= 3:
            self.check(*self.turns[-3:])

    def check(self, first, between, last):
        if first[0] != last[0]:
            return
        span = last[1] - first[2]
        self.record.write(
            f"turns of {first[0]}, {between[0]}, {last[0]}: {span * 1000:.0f} ms from the last order "
            "of the first turn to the first order of the third"
        )
        if span < LEASE_S:
            self.record.write(f"BROKEN ONE: holders alternate within {LEASE_S * 1000:.0f} ms")
            self.broken = True


def watch_lease(deployment, record):
    """Records each change of the holder in the lease row of the store."""

    def written(table, key, data):
        if key != "placement" or not table.endswith("lease"):
            return
        holder = deployment.store.value(table, table, key)["holder"]
        if holder != deployment.lease_holder:
            record.write(f"the lease row in the store now names {holder}")
        deployment.lease_holder = holder

    deployment.lease_holder = None
    deployment.store.on_write = written


async def play_round(deployment, record, turns, trouble):
    """Stops the holder and the next one; returns the tasks that stop and start processes."""
    first = deployment.machine(turns.holder)
    count = len(turns.turns)
    record.write(f"{first.name}, which gives the orders, gets SIGTERM")
    tasks = [asyncio.create_task(adapters.stop(first))]
    try:
        await standins.wait_until("another holder", lambda: len(turns.turns) > count, 6)
    except standins.CannotRun:
        return tasks + [asyncio.create_task(adapters.start_again(first, record))]
    second = deployment.machine(turns.holder)
    if trouble:
        record.write(f"{first.name} is killed while it stops")
        first.signal(signal.SIGKILL)
    tasks.append(asyncio.create_task(adapters.start_again(first, record)))
    await asyncio.sleep(adapters.RESTART_DELAY_S + 0.5)
    if deployment.lease_holder == second.name:
        record.write(f"{second.name}, which gives the orders, gets SIGTERM")
        tasks.append(asyncio.create_task(adapters.stop(second)))
        tasks.append(asyncio.create_task(adapters.start_again(second, record)))
    return tasks


async def case(deployment, record, trouble):
    runner = await adapters.prepare(deployment)
    turns = Turns(record)
    runner.on_order = turns.arrive
    watch_lease(deployment, record)
    tasks = await adapters.start_traffic(deployment)
    await standins.wait_until("a first order", lambda: turns.turns, 15)
    await asyncio.sleep(4)
    for number in range(ROUNDS):
        until = time.monotonic() + ROUND_S
        record.write(f"round {number + 1}")
        tasks += await play_round(deployment, record, turns, trouble)
        if not turns.broken:
            await asyncio.sleep(max(0, until - time.monotonic()))
        if turns.broken:
            break
    for task in tasks:
        task.cancel()
    record.write(f"{len(turns.turns)} turns of holders, {runner.orders} orders carried out")
    if not turns.broken and len(turns.turns) <= ROUNDS:
        raise standins.CannotRun("the lease changed its holder too seldom")
    return turns.broken


if __name__ == "__main__":
    standins.run(case, FOLDER / "record.txt")
