"""How fast a google-2011 trace is read, and with how much memory, from 50 thousand rows to 5 million.

    python benchmarks/trace_reading.py [ROWS ...]

The rows are made on the fly by another process and come gzipped on standard input, so that nothing is kept and the
making costs the reader nothing. The baseline of the same run is `csv.reader` over the same stream, which checks
nothing and orders nothing. Prints one JSON object.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys

MAKE = r"""
import random, sys, zlib
rows = int(sys.argv[1])
chance = random.Random(1)
block = []
for _ in range(5000):
    job, user = 6250000000 + chance.randrange(4000), chance.randrange(400)
    tail = f",{chance.choice('0014')},user-{user:032x},{chance.randrange(4)},{chance.randrange(12)}"
    tail += f",0.0{chance.randrange(999):03d},0.0{chance.randrange(9999):04d},0.0001,0"
    block.append(f",,{job},{chance.randrange(500)},{chance.randrange(12000)}{tail}\n")
packer = zlib.compressobj(3, wbits=31)
at, out = 600_000_000, sys.stdout.buffer
while rows > 0:
    lines = []
    for number, line in enumerate(block[:rows]):
        at += 450
        lines.append(f"{at if number % 7 else at - 40_000}{line}")
    rows -= len(lines)
    out.write(packer.compress("".join(lines).encode()))
out.write(packer.flush())
"""
READ = r"""
import json, resource, sys, time
start = time.process_time()
if sys.argv[1] == "ours":
    from marlstep.traces.formats import named
    from marlstep.traces.reading import Reading
    reading = Reading(named("google-2011"), ["-"])
    for _ in reading.batches():
        pass
    account = reading.account
    rows, told = account.rows, dict(bad=account.bad, arrivals=account.arrivals, out_of_order=account.out_of_order)
else:
    import csv, gzip, io
    rows, told = 0, {}
    for _ in csv.reader(io.TextIOWrapper(gzip.GzipFile(fileobj=sys.stdin.buffer), newline="")):
        rows += 1
peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
print(json.dumps(dict(told, rows=rows, cpu_s=time.process_time() - start, peak_mb=peak)))
"""


def run(which: str, rows: int) -> dict[str, float]:
    maker = subprocess.Popen([sys.executable, "-c", MAKE, str(rows)], stdout=subprocess.PIPE)
    reader = subprocess.run(
        [sys.executable, "-c", READ, which], stdin=maker.stdout, capture_output=True, check=True
    )
    maker.wait()
    told: dict[str, float] = json.loads(reader.stdout)
    assert told["rows"] == rows
    told["rows_per_s"] = rows / told["cpu_s"]
    return told


def main() -> None:
    sizes = [int(word) for word in sys.argv[1:]] or [50_000, 500_000, 5_000_000]
    runs = {str(rows): {"ours": run("ours", rows), "csv_reader": run("csv", rows)} for rows in sizes}
    last = runs[str(sizes[-1])]
    print(
        json.dumps(
            {
                "benchmark": "trace_reading",
                "machine": {"cores": os.cpu_count(), "python": sys.version.split()[0]},
                "runs": runs,
                "ratio_to_csv_reader": last["ours"]["rows_per_s"] / last["csv_reader"]["rows_per_s"],
                "memory_growth_mb": last["ours"]["peak_mb"] - runs[str(sizes[0])]["ours"]["peak_mb"],
            }
        )
    )


if __name__ == "__main__":
    main()
