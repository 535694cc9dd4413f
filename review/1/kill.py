"""A machine whose own links are cut sends requests through another machine, which is killed while
the runner's answers, which have no length, are on their way."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins

EVENTS = 30
EVENT_GAP_S = 0.1
BODY_PIECES = 8
PIECE = b"p" * 100
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HOST = "ficu95.example"
STREAMS, NOTICES = 4, 4


def event(number):
    return f"id: {number}\ndata: token {number}\n\n".encode()


def whole_answer(path):
    """The pieces of a runner's answer: the events of a stream, or parts of a body of 800 bytes."""
    if path.startswith("/lohu930/"):
        return [event(number) for number in range(1, EVENTS + 1)]
    return [PIECE] * BODY_PIECES


async def run_request(runner, method, path, headers, body, reader, writer):
    """Answers without a length: the answer ends with its connection, as RULES.md allows."""
    request = headers["request-id"]
    pieces = whole_answer(path)
    if request.startswith("warm"):
        whole = b"".join(pieces[:2])
        head = {"Request-Id": request, "Server-Seal": SEAL}
        writer.write(standins.message("200 OK", head, whole))
        return True
    RECORD.write(f"runner {runner.id} runs {request}")
    writer.write(
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Seal: {SEAL}\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode()
    )
    made = written = 0
    for piece in pieces:
        await asyncio.sleep(EVENT_GAP_S)
        made += len(piece)
        # The run goes on to its end, also without its connection.
        if not reader.at_eof() and not writer.is_closing():
            writer.write(piece)
            written += len(piece)
    ENDED.append(request)
    RECORD.write(f"runner {runner.id} ends {request}: {made} bytes made, {written} of them written "
                 "before its connection was closed")
    return False


RECORD = None
ENDED = []


def request_headers(request):
    return {
        "Host": HOST, "Request-Id": request, "Model": "daka510000", "Token-Count": "1460,60",
        "Prompt-Prefix": "5c1e07a2:800,e4402b7d:660", "Deadline-Ms": 15_000,
    }


def ask(machine, request, path):
    return standins.send(machine.front, "POST", path, request_headers(request), b"hello")


async def case(deployment, record, trouble):
    global RECORD
    RECORD = record
    store = deployment.store
    models = [{"name": "daka510000", "weightsMb": 72_700.0, "loadS": 6.0, "adapters": 0,
               "adapterMb": 66.0, "warmS": 0.47, "diskLoadS": 0.84}]
    engine = {"slots": 64, "kvCapacity": 135_497, "weightsMb": 230_000.0, "adapterSlots": 8,
              "loadsPerS": 3.1, "models": models}
    route = {"host": HOST, "timeoutMs": 15_000, "maxAttempts": 1}
    store.put("op", "config", standins.configuration(
        [{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "engine": engine},
         {"name": "xano55b", "healthPath": "/healthz", "maxConns": 96}],
        [route | {"name": "r-stream", "pathPrefix": "/lohu930/", "kind": "stream",
                  "targetMs": 2_500, "service": "huvo11a", "gapTargetMs": 300, "sticky": True,
                  "resumable": False, "priority": 1},
         route | {"name": "r-notify", "pathPrefix": "/puxa403/", "kind": "mutating",
                  "targetMs": 1_500, "service": "xano55b", "priority": 2}]))
    await deployment.add_runner("huvo11a", run_request, models=["daka510000"], slots=64)
    await deployment.add_runner("xano55b", run_request, slots=32)
    # Two machines both read the store themselves, so that each sees its own links.
    for number, zone in enumerate(("hall-a", "hall-b"), 1):
        await deployment.add_machine(f"front-{zone}-{number}", zone)
    await deployment.start_machines()
    # A machine learns of the others within some seconds of its start.
    await asyncio.sleep(5)
    cut, other = deployment.machines
    for machine in deployment.machines:
        for path in ("/lohu930/2f", "/puxa403/2f"):
            answer = await ask(machine, f"warm-{machine.name}-{path[1]}", path)
            if answer.status != 200:
                raise standins.CannotRun(f"{machine.name} answers {answer.status} at first")

    record.write(f"the links between {cut.name} and the runners are cut")
    await deployment.cut_off(cut.name)
    await asyncio.sleep(1)
    requests = [(f"stream-{n}", "/lohu930/2f") for n in range(STREAMS)]
    requests += [(f"notify-{n}", "/puxa403/2f") for n in range(NOTICES)]
    deployment.connected.clear()
    for request, path in requests:
        record.write(f"client sends {request} (POST {path}) to {cut.name}")
    sending = [asyncio.create_task(ask(cut, *request)) for request in requests]
    await asyncio.sleep(EVENT_GAP_S * 4.5)
    carried = [machine for machine, _ in deployment.connected]
    record.write(f"{other.name} has opened {carried.count(other.name)} connections to the runners")
    if not carried.count(other.name) or carried.count(cut.name):
        raise standins.CannotRun("the requests don't pass through the other machine")
    if trouble:
        record.write(f"{other.name} is killed")
        other.signal(signal.SIGKILL)
    answers = await asyncio.gather(*sending)
    broken, served = check(requests, answers, record)
    # The record also shows how the runs end.
    await standins.wait_until("the ends of the runs", lambda: len(ENDED) >= len(requests), 10)
    if not trouble and served < len(requests):
        raise standins.CannotRun("requests through the other machine fail without the disruption")
    return broken


def check(requests, answers, record):
    """Returns whether an answer that lacks its end looks complete, and the number of whole ones."""
    broken = False
    served = 0
    for (request, path), answer in zip(requests, answers):
        whole = sum(map(len, whole_answer(path)))
        end = "whole" if answer.complete else answer.error
        seal = answer.headers.get("server-seal")
        record.write(
            f"client gets {request}: status {answer.status}, signature {seal}, "
            f"{len(answer.body)} of {whole} bytes, end of the answer: {end}"
        )
        if answer.status != 200 or not answer.complete:
            continue
        if len(answer.body) < whole:
            rule = "ORDER, MIXED" if "stream" in request else "MIXED"
            record.write(f"BROKEN {rule}: {request} looks complete and lacks its end")
            broken = True
        else:
            served += 1
    return broken, served


if __name__ == "__main__":
    standins.run(case, FOLDER / "record.txt", limit_s=55)
