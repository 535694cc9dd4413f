"""Runners of a second software version start while machine B is cut off from the store and from machine
A. Streams begin there at A, which is killed. The clients take them up at B."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins

HOST, MODEL, PATH = "ficu95.example", "daka510000", "/lohu930/2f"
EVENTS, EVENT_GAP_S = 60, 0.05
STREAMS = 8
# The rule allows two.
MOST_MIXED = 2
RELAY_PORT = 7380
RECORD = None


async def run_request(runner, method, path, headers, body, reader, writer):
    """Writes the events after `Last-Event-Id`; like all runners, it doesn't check who wrote those."""
    request, last = headers["request-id"], int(headers.get("last-event-id", 0))
    RECORD.write(f"runner {runner.id} of version {runner.software_version} runs {request} from event "
                 f"{last + 1} on, Resumes: {headers.get('resumes')}")
    head = {"Request-Id": request, "Server-Seal": f"seal-{runner.id}",
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
    for number in range(last + 1, EVENTS + 1):
        if reader.at_eof() or writer.is_closing():
            return False
        event = f"id: {number}\ndata: {runner.software_version} token {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await asyncio.sleep(EVENT_GAP_S)
    writer.write(b"0\r\n\r\n")
    return True


async def ask(machine, request, **more):
    headers = {
        "Host": HOST, "Request-Id": request, "Model": MODEL, "Token-Count": "1460,120",
        "Prompt-Prefix": "5c1e07a2:800,e4402b7d:660", "Deadline-Ms": 15_000,
    }
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    return await standins.send(machine.front, "POST", PATH, headers, b"hello")


def versions(*answers):
    """The software versions that wrote the events of these answers."""
    lines = b"".join(answer.body for answer in answers).split(b"\n")
    return sorted({line.split()[1].decode() for line in lines if line.startswith(b"data: ")})


async def take_up(machine, number, first):
    """Takes a stream up after its last whole event; returns whether its versions are mixed."""
    last = first.body.count(b"\n\n")
    second = await ask(machine, f"second-{number}", Last_Event_Id=last, Resumes=f"first-{number}")
    events = [first] + ([second] if second.status == 200 else [])
    RECORD.write(f"stream {number}: {last} events at first, end of the answer: {first.error}; taken up: "
                 f"status {second.status}, {second.body.count(b'id: ')} events, whole: "
                 f"{second.complete}; versions: {', '.join(versions(*events))}")
    return len(versions(*events)) > 1


async def prepare(deployment):
    """Adds three runners, of which one starts, and machines A and B with links that can hang."""
    model = {"name": MODEL, "weightsMb": 72_700.0, "loadS": 6.0, "adapters": 0, "adapterMb": 66.0}
    engine = {"slots": 64, "kvCapacity": 135_497, "weightsMb": 230_000.0, "adapterSlots": 8,
              "loadsPerS": 3.1, "models": [model]}
    deployment.store.put("op", "config", standins.configuration(
        [{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "engine": engine}],
        [{"name": "r-stream", "host": HOST, "pathPrefix": "/lohu930/", "kind": "stream",
          "timeoutMs": 15_000, "targetMs": 400, "service": "huvo11a", "gapTargetMs": 300,
          "sticky": True, "resumable": True, "priority": 1, "maxAttempts": 2}]))
    net = deployment.net
    runners = [
        standins.Runner(deployment.store, "huvo11a", f"{net}.200", run_request, [MODEL], 64)
        for _ in range(3)
    ]
    runners[1].software_version = runners[2].software_version = "v2"
    await runners[0].start()
    relays = [f"{net}.1:{RELAY_PORT}", f"{net}.2:{RELAY_PORT}"]
    to_b = await standins.Link(f"{net}.101", relays[1]).open()
    to_a = await standins.Link(f"{net}.102", relays[0]).open()
    # Each machine sees the other one at the address of the link to it.
    seen = [{relays[1]: to_b.address}, {relays[0]: to_a.address}]
    stores = [
        await deployment.store.listen(f"{net}.250", lambda address, view=view: view.get(address, address))
        for view in seen
    ]
    to_store = await standins.Link(f"{net}.103", stores[1]).open()
    machines = [
        standins.Machine("front-hall-a-1", f"{net}.1", "hall-a", stores[0], deployment.folder),
        standins.Machine("front-hall-b-2", f"{net}.2", "hall-b", to_store.address, deployment.folder),
    ]
    deployment.machines += machines
    return runners, machines, [to_a, to_b, to_store]


async def case(deployment, record, trouble):
    global RECORD
    RECORD = record
    runners, (a, b), links = await prepare(deployment)
    await deployment.start_machines()
    # A machine learns of the others within some seconds of its start.
    await asyncio.sleep(6)
    for machine in (a, b):
        answer = await ask(machine, f"warm-{machine.name}")
        if answer.status != 200:
            raise standins.CannotRun(f"{machine.name} answers {answer.status} at first")

    if trouble:
        record.write(f"{b.name} is cut off from the store and from {a.name}")
        for link in links:
            link.hang()
    record.write("two runners of software version v2 start")
    for runner in runners[1:]:
        await runner.start()
    await asyncio.sleep(0.3)
    sending = [asyncio.create_task(ask(a, f"first-{number}")) for number in range(STREAMS)]
    await asyncio.sleep(0.7)
    record.write(f"{a.name} is killed")
    a.signal(signal.SIGKILL)
    firsts = await asyncio.gather(*sending)
    mixed = await asyncio.gather(
        *(take_up(b, number, first) for number, first in enumerate(firsts))
    )
    record.write(f"{sum(mixed)} of {STREAMS} streams hold events of two software versions")
    if not any(first.body for first in firsts):
        raise standins.CannotRun("no stream began")
    if sum(mixed) > MOST_MIXED:
        record.write("BROKEN ORDER: streams hold events of two software versions")
    return sum(mixed) > MOST_MIXED


if __name__ == "__main__":
    standins.run(case, FOLDER / "record.txt")
