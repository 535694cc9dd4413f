"""A deployment with one runner whose adapters change all the time, so that the holder of the
placement lease always has orders to give."""

import asyncio
import random
import signal

import standins

HOST = "ficu95.example"
MODEL, ADAPTERS, ADAPTER_SLOTS = "daka510000", 28, 8
REQUESTS_PER_S = 25
# The platform starts a process again after a short delay.
RESTART_DELAY_S = 0.5
GRACE_S = 8


async def run_request(runner, method, path, headers, body, reader, writer):
    model, _, adapter = headers["model"].partition("/")
    if model not in runner.adapters or (adapter and adapter not in runner.adapters[model]):
        answer = {"Request-Id": headers["request-id"], "Instance-Id": runner.id}
        writer.write(standins.message("421 Misdirected Request", answer))
        return True
    await asyncio.sleep(0.05)
    answer = {"Request-Id": headers["request-id"], "Server-Seal": "3e1b.07.5a2.600.0.c9f2a4d1",
              "Content-Type": "text/event-stream"}
    writer.write(standins.message("200 OK", answer, b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
    return True


def configuration():
    """The operator's configuration: one service with an engine, one resumable route to it."""
    models = [{"name": MODEL, "weightsMb": 72_700.0, "loadS": 6.0, "adapters": ADAPTERS,
               "adapterMb": 66.0, "warmS": 0.47, "diskLoadS": 0.84}]
    engine = {"slots": 64, "kvCapacity": 135_497, "weightsMb": 230_000.0,
              "adapterSlots": ADAPTER_SLOTS, "loadsPerS": 3.1, "models": models}
    return standins.configuration(
        [{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "engine": engine}],
        [{"name": "r-stream", "host": HOST, "pathPrefix": "/lohu930/", "kind": "stream",
          "timeoutMs": 15_000, "targetMs": 400, "service": "huvo11a", "gapTargetMs": 300,
          "sticky": True, "resumable": True, "priority": 1, "maxAttempts": 2}])


async def prepare(deployment):
    """Writes the configuration, and adds a runner and two machines; returns the runner."""
    deployment.store.put("op", "config", configuration())
    runner = await deployment.add_runner("huvo11a", run_request, models=[MODEL], slots=64)
    for number, zone in enumerate(("hall-a", "hall-b"), 1):
        machine = await deployment.add_machine(f"front-{zone}-{number}", zone, with_links=False)
        machine.is_in = True
    return runner


async def start_traffic(deployment):
    """Starts the machines and the clients; returns the tasks that go on until they are cancelled."""
    await deployment.start_machines()
    return [asyncio.create_task(ask_often(deployment)),
            asyncio.create_task(watch_ready(deployment))]


async def ask_often(deployment):
    """Asks for other adapters all the time, at machines that receive new connections."""
    sending = set()
    number = 0
    while True:
        await asyncio.sleep(1 / REQUESTS_PER_S)
        ready = [machine for machine in deployment.machines if machine.is_in]
        if not ready:
            continue
        number += 1
        headers = {
            "Host": HOST, "Request-Id": f"{number:016x}", "Deadline-Ms": 5_000,
            "Model": f"{MODEL}/a{random.randint(1, ADAPTERS)}", "Token-Count": "100,10",
            "Prompt-Prefix": f"{number:08x}:100",
        }
        machine = random.choice(ready)
        task = asyncio.create_task(
            standins.send(machine.front, "POST", "/lohu930/2f", headers, b"x", time_limit=6)
        )
        sending.add(task)
        task.add_done_callback(sending.discard)


async def watch_ready(deployment):
    """Asks each machine every second whether it is ready; two misses take it out."""
    misses = {machine.name: 0 for machine in deployment.machines}
    while True:
        for machine in deployment.machines:
            misses[machine.name] = 0 if await machine.is_ready() else misses[machine.name] + 1
            machine.is_in = misses[machine.name] < 2
        await asyncio.sleep(1)


async def stop(machine):
    """SIGTERM, and SIGKILL after the grace time."""
    process = machine.process
    machine.signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    if process.poll() is None:
        process.kill()


async def start_again(machine, record):
    """Starts a machine's process again after its end."""
    await asyncio.get_running_loop().run_in_executor(None, machine.process.wait)
    await asyncio.sleep(RESTART_DELAY_S)
    machine.start(bootstrap=False)
    record.write(f"{machine.name} is started")
