"""A machine whose own links are cut sends requests through another machine, which gets SIGTERM. The
runner's answers, which have no length, pause for 1.3 s while that machine stops."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins

EVENTS = 50
EVENT_GAP_S = 0.1
# The answer is silent after this many events, for this time. Clients wait for two seconds.
EVENTS_BEFORE_PAUSE = 28
PAUSE_S = 1.3
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HOST = "ficu95.example"
PATH = "/lohu930/2f"
STREAMS = 4
GRACE_S = 8
RECORD = None


def event(number):
    return f"id: {number}\ndata: token {number}\n\n".encode()


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


async def run_request(runner, method, path, headers, body, reader, writer):
    """Answers without a length: the answer ends with its connection, as RULES.md allows."""
    request = headers["request-id"]
    if request.startswith("warm"):
        head = {"Request-Id": request, "Server-Seal": SEAL}
        writer.write(standins.message("200 OK", head, event(1) + event(2)))
        return True
    RECORD.write(f"runner {runner.id} runs {request}")
    writer.write(
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Seal: {SEAL}\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode()
    )
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_GAP_S)
        if number == EVENTS_BEFORE_PAUSE + 1:
            RECORD.write(f"runner {runner.id} makes no event of {request} for {PAUSE_S} s")
            await asyncio.sleep(PAUSE_S)
        if reader.at_eof() or writer.is_closing():
            RECORD.write(f"runner {runner.id}: the connection of {request} was closed, "
                         f"{number - 1} of {EVENTS} events written")
            return False
        writer.write(event(number))
        await writer.drain()
    RECORD.write(f"runner {runner.id} ends {request}: {EVENTS} of {EVENTS} events written")
    return False


def ask(machine, request):
    headers = {
        "Host": HOST, "Request-Id": request, "Model": "daka510000", "Token-Count": "1460,250",
        "Prompt-Prefix": "5c1e07a2:800,e4402b7d:660", "Deadline-Ms": 25_000,
    }
    return standins.send(machine.front, "POST", PATH, headers, b"hello", time_limit=25)


async def case(deployment, record, trouble):
    global RECORD
    RECORD = record
    models = [{"name": "daka510000", "weightsMb": 72_700.0, "loadS": 6.0, "adapters": 0,
               "adapterMb": 66.0, "warmS": 0.47, "diskLoadS": 0.84}]
    engine = {"slots": 64, "kvCapacity": 135_497, "weightsMb": 230_000.0, "adapterSlots": 8,
              "loadsPerS": 3.1, "models": models}
    deployment.store.put("op", "config", standins.configuration(
        [{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "engine": engine}],
        [{"name": "r-stream", "host": HOST, "pathPrefix": "/lohu930/", "kind": "stream",
          "timeoutMs": 25_000, "targetMs": 2_500, "service": "huvo11a", "gapTargetMs": 300,
          "sticky": True, "resumable": False, "priority": 0, "maxAttempts": 1}]))
    await deployment.add_runner("huvo11a", run_request, models=["daka510000"], slots=64)
    # Two machines both read the store themselves, so that each sees its own links.
    for number, zone in enumerate(("hall-a", "hall-b"), 1):
        await deployment.add_machine(f"front-{zone}-{number}", zone)
    await deployment.start_machines()
    # A machine learns of the others within some seconds of its start.
    await asyncio.sleep(5)
    cut, other = deployment.machines
    for machine in deployment.machines:
        answer = await ask(machine, f"warm-{machine.name}")
        if answer.status != 200:
            raise standins.CannotRun(f"{machine.name} answers {answer.status} at first")

    record.write(f"the links between {cut.name} and the runner are cut")
    await deployment.cut_off(cut.name)
    await asyncio.sleep(1)
    deployment.connected.clear()
    requests = [f"stream-{number}" for number in range(STREAMS)]
    for request in requests:
        record.write(f"client sends {request} (POST {PATH}) to {cut.name}")
    sending = [asyncio.create_task(ask(cut, request)) for request in requests]
    await asyncio.sleep(EVENT_GAP_S * 2)
    carried = [machine for machine, _ in deployment.connected]
    record.write(f"{other.name} has opened {carried.count(other.name)} connections to the runner")
    if not carried.count(other.name) or carried.count(cut.name):
        raise standins.CannotRun("the requests don't pass through the other machine")
    stopped_at = time.monotonic()
    if trouble:
        record.write(f"{other.name} gets SIGTERM")
        other.signal(signal.SIGTERM)
    answers = await asyncio.gather(*sending)
    took = time.monotonic() - stopped_at

    broken = False
    for request, answer in zip(requests, answers):
        end = "whole" if answer.complete else answer.error
        record.write(
            f"client gets {request}: status {answer.status}, signature "
            f"{answer.headers.get('server-seal')}, {answer.body.count(b'id: ')} of {EVENTS} events, "
            f"end of the answer: {end}"
        )
        if answer.status == 200 and answer.complete and answer.body != WHOLE:
            record.write(f"BROKEN ORDER, MIXED: {request} looks complete and lacks its end")
            broken = True
    record.write(f"the last answer ended {took:.1f} s after the stop began; graceS is {GRACE_S}")
    if not trouble and any(answer.body != WHOLE for answer in answers):
        raise standins.CannotRun("requests through the other machine fail without the disruption")
    return broken


if __name__ == "__main__":
    standins.run(case, FOLDER / "record.txt", limit_s=55, append=True)
