PYTHON ?= python3
VENV := .venv/bin

.PHONY: build test lint format run sim bench-traces bench-replay bench-fleet drill-leases drill-virtual \
	drill-breakages explore-leases bench-rules drill-rules drill-rules-virtual explore-rules mixed-versions drill-upgrade-load soak

build: .venv/requirements-dev.txt

.venv/requirements-dev.txt: requirements.txt requirements-ops.txt requirements-dev.txt
	test -x $(VENV)/python || $(PYTHON) -m venv .venv
	$(VENV)/python -m pip -q install -r requirements-dev.txt
	cp requirements.txt requirements-ops.txt requirements-dev.txt .venv/

test: build
	$(VENV)/python -m pytest -q -n auto --maxprocesses 5 --dist loadscope

lint: build
	$(VENV)/ruff check .
	$(VENV)/ruff format --check .
	$(VENV)/mypy

format: build
	$(VENV)/ruff format .

# PROXY_CONFIG names the node's configuration; OPERATOR may name an operator's file.
run: build
	$(VENV)/python -m marlstep $(if $(OPERATOR),--operator $(OPERATOR))

sim: build
	$(VENV)/python -m marlstep.simulator

# Long measurements, outside CI; each prints one JSON object.
bench-traces: build
	$(VENV)/python benchmarks/trace_reading.py

bench-replay: build
	$(VENV)/python benchmarks/replay_again.py

bench-fleet: build
	$(VENV)/python -m benchmarks.fleet --kills 20 --drains 20 --calm 600

# Long drills, outside CI (docs/fleet.md): two hundred plans on processes, ten thousand on the virtual network, each
# deliberate breakage until it is found, and the walk to the end of its bounds. JOBS plans go on at once.
JOBS ?= 4

drill-leases: build
	$(VENV)/python -m marlstep drill leases --nodes 5 --seeds 200 --for 20s --jobs $(JOBS)

drill-virtual: build
	$(VENV)/python -m marlstep drill leases --virtual --seeds 10000

drill-breakages: build
	for name in any-vote counted-from-answer no-drift-margin no-fence no-wait-at-election renewal-unconfirmed \
		store-copy-trusted token-reused vote-not-synced; do \
		$(VENV)/python -m marlstep drill leases --virtual --broken $$name --seed 0 --seeds 600 | head -n 7; \
	done; $(VENV)/python -m marlstep explore leases --start divergent --broken old-term-commit; true

bench-rules: build
	$(VENV)/python -m benchmarks.rules

drill-rules: build
	$(VENV)/python -m marlstep drill rules --nodes 5 --seeds 200 --for 20s --jobs $(JOBS)

drill-rules-virtual: build
	$(VENV)/python -m marlstep drill rules --virtual --seeds 2000

explore-rules: build
	$(VENV)/python -m marlstep explore rules --wakes 2 --seconds 600

explore-leases: build
	$(VENV)/python -m marlstep explore leases --seconds 300

# Two versions together (docs/operations.md), outside CI: OLD is a checkout of the version before, as of git worktree.
ROUNDS ?= 1

mixed-versions: build
	$(VENV)/python -m benchmarks.mixed_versions --old $(OLD) --rounds $(ROUNDS) all

# One plan of upgrades and a drain, RUNS times beside LOAD busy processes, outside CI.
RUNS ?= 60
LOAD ?= 3

drill-upgrade-load: build
	$(VENV)/python -m benchmarks.upgrade_under_load --runs $(RUNS) --jobs $(JOBS) --load $(LOAD)

# RUNS soaks from SEED on, outside CI: upgrades, drains, kills and signals, JOBS at once beside LOAD busy processes.
SEED ?= 1

soak: build
	$(VENV)/python -m benchmarks.soak --seed $(SEED) --runs $(RUNS) --jobs $(JOBS) --load $(LOAD)
