"""Measure how fast a google-2011 trace is read, and with how much memory, from 50 thousand to 5 million rows.

    python benchmarks/trace_reading.py [ROWS ...]

Another process generates the rows and sends them gzipped to the reader's standard input, so that nothing is
stored and the generation does not count as the reader's processor time. Each run measures its own baseline:
`csv.reader` over the same stream, which neither validates nor sorts rows. Prints one JSON object.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys

GENERATE_TRACE = r"""
import random, sys, zlib
rows = int(sys.argv[1])
rng = random.Random(1)
block = []
for _ in range(5000):
    job, user = 6250000000 + rng.randrange(4000), rng.randrange(400)
    tail = f",{rng.choice('0014')},user-{user:032x},{rng.randrange(4)},{rng.randrange(12)}"
    tail += f",0.0{rng.randrange(999):03d},0.0{rng.randrange(9999):04d},0.0001,0"
    block.append(f",,{job},{rng.randrange(500)},{rng.randrange(12000)}{tail}\n")
compressor = zlib.compressobj(3, wbits=31)
time_us, out = 600_000_000, sys.stdout.buffer
while rows > 0:
    lines = []
    for number, line in enumerate(block[:rows]):
        time_us += 450
        lines.append(f"{time_us if number % 7 else time_us - 40_000}{line}")
    rows -= len(lines)
    out.write(compressor.compress("".join(lines).encode()))
out.write(compressor.flush())
"""
READ_TRACE = r"""
import json, resource, sys, time
start = time.process_time()
if sys.argv[1] == "ours":
    from marlstep.traces.formats import format_by_name
    from marlstep.traces.reading import Reading
    reading = Reading(format_by_name("google-2011"), ["-"])
    for _ in reading.batches():
        pass
    account = reading.account
    rows = account.rows
    counts = dict(bad=account.bad, arrivals=account.arrivals, out_of_order=account.out_of_order)
else:
    import csv, gzip, io
    rows, counts = 0, {}
    for _ in csv.reader(io.TextIOWrapper(gzip.GzipFile(fileobj=sys.stdin.buffer), newline="")):
        rows += 1
peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
print(json.dumps(dict(counts, rows=rows, cpu_s=time.process_time() - start, peak_mb=peak)))
"""


def measure(reader_name: str, rows: int) -> dict[str, float]:
    """Read a generated trace and return the rows per second and the peak memory of the reader.

    Args:
        reader_name: `ours` for the program's reader, or `csv` for `csv.reader`.
        rows: How many rows to generate.
    """
    generator = subprocess.Popen([sys.executable, "-c", GENERATE_TRACE, str(rows)], stdout=subprocess.PIPE)
    reader = subprocess.run(
        [sys.executable, "-c", READ_TRACE, reader_name],
        stdin=generator.stdout,
        capture_output=True,
        check=True,
    )
    generator.wait()
    measurements: dict[str, float] = json.loads(reader.stdout)
    assert measurements["rows"] == rows
    measurements["rows_per_s"] = rows / measurements["cpu_s"]
    return measurements


def main() -> None:
    """Measure all sizes and print the report as JSON."""
    sizes = [int(word) for word in sys.argv[1:]] or [50_000, 500_000, 5_000_000]
    runs = {str(rows): {"ours": measure("ours", rows), "csv_reader": measure("csv", rows)} for rows in sizes}
    largest = runs[str(sizes[-1])]
    print(
        json.dumps(
            {
                "benchmark": "trace_reading",
                "machine": {"cores": os.cpu_count(), "python": sys.version.split()[0]},
                "runs": runs,
                "ratio_to_csv_reader": largest["ours"]["rows_per_s"] / largest["csv_reader"]["rows_per_s"],
                "memory_growth_mb": largest["ours"]["peak_mb"] - runs[str(sizes[0])]["ours"]["peak_mb"],
            }
        )
    )


if __name__ == "__main__":
    main()
