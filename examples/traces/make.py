"""Generates the small example traces in this folder, one in each format, from a fixed seed.

    python examples/traces/make.py [FOLDER]

The traces are synthetic. Each has a quiet start, a burst, rows out of order, a duplicate row (if the format can
detect duplicates) and several kinds of bad rows. `EXPECTED` in tests/traces/test_formats.py has the expected counts
of each.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

SEED = 20261201
SECONDS = 120
BURST = range(60, 75)
QUIET_RATE, BURST_RATE = 4.0, 12.0


def arrival_times(rng: random.Random) -> Iterator[float]:
    """Yield arrival times, in seconds, of a Poisson process whose rate triples for 15 s."""
    arrival_s = 0.0
    while True:
        rate = BURST_RATE if int(arrival_s) in BURST else QUIET_RATE
        arrival_s += rng.expovariate(rate)
        if arrival_s >= SECONDS:
            return
        yield arrival_s


def swap_some_rows(rows: list[str], rng: random.Random) -> list[str]:
    """Return the rows, with one row in twenty swapped with a row up to seven places later."""
    rows = list(rows)
    for index in range(0, len(rows) - 8, 20):
        other = index + rng.randrange(1, 8)
        rows[index], rows[other] = rows[other], rows[index]
    return rows


def insert_bad_rows(rows: list[str], bad_rows: list[str], repeat_row: bool) -> list[str]:
    """Return the rows with the bad rows spread evenly among them, and one row twice if `repeat_row` is true."""
    rows = list(rows)
    if repeat_row:
        rows.insert(31, rows[30])
    for number, row in enumerate(bad_rows, 1):
        rows.insert(number * len(rows) // (len(bad_rows) + 1), row)
    return rows


def google_2011(rng: random.Random) -> list[str]:
    rows = []
    for number, arrival_s in enumerate(arrival_times(rng)):
        time_us = 600_000_000 + int(arrival_s * 1e6)
        user, job = rng.randrange(7), 6_250_000_000 + rng.randrange(60)
        kind, cpu = rng.choice("00001123"), rng.lognormvariate(-4, 1)
        rows.append(f"{time_us},,{job},{number},,0,user-{user},{kind},{kind},{cpu:.5f},0.0031,0.0004,0")
        if rng.random() < 0.4:
            rows.append(
                f"{time_us + 1500},,{job},{number},4155527081,1,user-{user},{kind},{kind},{cpu:.5f},0.0031,0.0004,0"
            )
    bad_rows = [
        "600100000,,6250000001,7",
        "-5,,6250000001,7,,0,user-1,0,0,0.01,0.01,0.01,0",
        "later,,6250000001,7,,0,user-1,0,0,0.01,0.01,0.01,0",
        "600200000,,6250000001,7,,0,user-1,0,0,nan,0.01,0.01,0",
        "600300000,,6250000001,7,,0,user-1,0,0,0.01,0.01,0.01,0,9",
        '600400000,,"6250000001,7,,0,user-1,0,0,0.01,0.01,0.01,0',
        "99999999999999999999999,,6250000001,7,,0,user-1,0,0,0.01,0.01,0.01,0",
        "0,,6250000001,7,,0,user-1,0,0,0.01,0.01,0.01,0",
    ]
    return insert_bad_rows(swap_some_rows(rows, rng), bad_rows, repeat_row=True)


def google_2019(rng: random.Random) -> list[str]:
    header = (
        "time,type,collection_id,scheduling_class,missing_type,collection_type,priority,alloc_collection_id,"
        "instance_index,machine_id,alloc_instance_index,resource_request.cpus,resource_request.memory"
    )
    rows = []
    for number, arrival_s in enumerate(arrival_times(rng)):
        time_us = 600_000_000 + int(arrival_s * 1e6)
        kind, collection = rng.choice("00001123"), 380_000_000_000 + rng.randrange(50)
        cpus = rng.lognormvariate(-5, 1)
        rows.append(f"{time_us},SUBMIT,{collection},{kind},,0,{kind},,{number},,,{cpus:.6f},0.0021")
        if rng.random() < 0.3:
            rows.append(
                f"{time_us + 900},SCHEDULE,{collection},{kind},,0,{kind},,{number},77,,{cpus:.6f},0.0021"
            )
    bad_rows = [
        "600100000,SUBMIT,380000000001",
        "600100000,JUMP,380000000001,0,,0,0,,1,,,0.01,0.01",
        "600100000,SUBMIT,,0,,0,0,,1,,,0.01,0.01",
        "600100000,SUBMIT,380000000001,0,,0,0,,1,,,inf,0.01",
    ]
    return [header, *insert_bad_rows(swap_some_rows(rows, rng), bad_rows, repeat_row=True)]


def alibaba_2018_task(rng: random.Random) -> list[str]:
    rows = []
    for number, arrival_s in enumerate(arrival_times(rng)):
        start = 87_000 + int(arrival_s)
        duration = int(rng.lognormvariate(3, 1.2)) + 1
        job = f"j_{rng.randrange(80)}"
        rows.append(
            f"task_{number},{rng.randrange(1, 9)},{job},{rng.randrange(1, 13)},"
            f"Terminated,{start},{start + duration},100,0.39"
        )
    bad_rows = [
        "task_x,1,j_1,1,Terminated,87050,87049,100,0.39",
        "task_x,1,j_1,1,Terminated,,87049,100,0.39",
        "task_x,1,j_1,1,Waiting,,,100,0.39",
        "task_x,1,j_1,1,Terminated,87050,soon,100,0.39",
        "task_x,1,j_1",
    ]
    return insert_bad_rows(swap_some_rows(rows, rng), bad_rows, repeat_row=True)


def alibaba_2018_instance(rng: random.Random) -> list[str]:
    rows = []
    for number, arrival_s in enumerate(arrival_times(rng)):
        start = 87_000 + int(arrival_s)
        duration = int(rng.lognormvariate(3, 1.2)) + 1
        job = f"j_{rng.randrange(80)}"
        cpu = rng.randrange(5, 200)
        rows.append(
            f"ins_{number},task_{number % 9},{job},{rng.randrange(1, 13)},Terminated,{start},{start + duration},"
            f"m_{rng.randrange(40)},1,1,{cpu},{cpu + 10},0.2,0.3"
        )
    bad_rows = [
        "ins_x,task_1,j_1,1,Terminated,87050,87049,m_1,1,1,10,20,0.2,0.3",
        "ins_x,task_1,j_1,1,Terminated,87050,87059,m_1,1,1,-10,20,0.2,0.3",
        "ins_x,task_1,j_1,,Terminated,87050,87059,m_1,1,1,10,20,0.2,0.3",
    ]
    return insert_bad_rows(swap_some_rows(rows, rng), bad_rows, repeat_row=True)


def alibaba_2021_calls(rng: random.Random) -> list[str]:
    header = ",traceid,timestamp,rpcid,um,rpctype,dm,interface,rt"
    rows = []
    for number, arrival_s in enumerate(arrival_times(rng)):
        trace = f"0b13395915919{number // 3:09d}"
        kind = rng.choice(("rpc", "rpc", "mc", "db", "http", "mq"))
        rt = int(rng.lognormvariate(2, 1.5))
        rows.append(
            f"{number},{trace},{int(arrival_s * 1e3)},0.{number % 3 + 1},MS_{rng.randrange(9)},{kind}"
            f",MS_{10 + rng.randrange(9)},if_{rng.randrange(30)},{rt}"
        )
    bad_rows = [
        "x,0b1339,5000,0.1,MS_1,rpc,MS_2,if_1,-4",
        "x,0b1339,,0.1,MS_1,rpc,MS_2,if_1,4",
        "x,0b1339,5000,0.1,MS_1,rpc,MS_2,if_1,4,5",
    ]
    return [header, *insert_bad_rows(swap_some_rows(rows, rng), bad_rows, repeat_row=True)]


def azure_2019(rng: random.Random) -> list[str]:
    header = ",".join(["HashOwner", "HashApp", "HashFunction", "Trigger", *map(str, range(1, 1441))])
    rows = []
    for number in range(12):
        counts = ["0"] * 1440
        for minute in range(480, 500):
            counts[minute] = str(rng.randrange(4) * (6 if minute in (486, 487) else 1))
        trigger = rng.choice(("http", "timer", "queue"))
        rows.append(
            ",".join([f"owner{number % 4}", f"app{number % 6}", f"function{number}", trigger, *counts])
        )
    short_row = ",".join(["owner1", "app1", "functionx", "http", *["0"] * 1439])
    non_numeric_row = ",".join(["owner1", "app1", "functiony", "http", "many", *["0"] * 1439])
    return [header, *insert_bad_rows(rows, [short_row, non_numeric_row, rows[0]], repeat_row=False)]


def azure_2021(rng: random.Random) -> list[str]:
    rows = []
    for arrival_s in arrival_times(rng):
        duration = round(rng.lognormvariate(-1.5, 1.5), 3)
        rows.append(
            (
                arrival_s + duration,
                f"app{rng.randrange(5)},func{rng.randrange(20)},{arrival_s + duration:.6f},{duration}",
            )
        )
    row_texts = [text for _, text in sorted(rows)]
    bad_rows = [
        "app1,func1,50.5,-0.25",
        "app1,func1,NaN,0.25",
        "app1,,50.5,0.25",
        "app1,func1,0.25,0.75",
    ]
    return ["app,func,end_timestamp,duration", *insert_bad_rows(row_texts, bad_rows, repeat_row=True)]


def generic(rng: random.Random) -> list[str]:
    rows = []
    for arrival_s in arrival_times(rng):
        kind = rng.choice(("history", "history", "save", "setpoint"))
        site = rng.choice(("ain-sebaa", "sidi-maarouf", "bouskoura"))
        rows.append(f"{int(arrival_s * 1e3)},{site},{kind},{rng.randrange(100, 500)},gw-{rng.randrange(30)}")
    bad_rows = ["12000,ain-sebaa,history", "12000,,save,200,gw-1", "1e400,bouskoura,save,200,gw-1"]
    return [
        "at_ms,site,kind,work_ms,gateway",
        *insert_bad_rows(swap_some_rows(rows, rng), bad_rows, repeat_row=False),
    ]


MAKERS: dict[str, Callable[[random.Random], list[str]]] = {
    "google-2011": google_2011,
    "google-2019": google_2019,
    "alibaba-2018-task": alibaba_2018_task,
    "alibaba-2018-instance": alibaba_2018_instance,
    "alibaba-2021-calls": alibaba_2021_calls,
    "azure-2019": azure_2019,
    "azure-2021": azure_2021,
    "generic": generic,
}


def make(name: str) -> bytes:
    """Return the bytes of one example trace, which are the same on every call."""
    return ("\n".join(MAKERS[name](random.Random(f"{SEED}/{name}"))) + "\n").encode()


def main() -> None:
    folder = Path(sys.argv[1]) if len(sys.argv) > 1 else Path(__file__).parent
    for name in MAKERS:
        (folder / f"{name}.csv").write_bytes(make(name))


if __name__ == "__main__":
    main()
