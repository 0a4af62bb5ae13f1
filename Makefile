PYTHON ?= python3
VENV := .venv/bin

.PHONY: build test lint format run sim bench-traces bench-replay

build: .venv/requirements-dev.txt

.venv/requirements-dev.txt: requirements.txt requirements-ops.txt requirements-dev.txt
	test -x $(VENV)/python || $(PYTHON) -m venv .venv
	$(VENV)/python -m pip -q install -r requirements-dev.txt
	cp requirements.txt requirements-ops.txt requirements-dev.txt .venv/

test: build
	$(VENV)/python -m pytest -q

lint: build
	$(VENV)/ruff check .
	$(VENV)/ruff format --check marlstep petrelcart/interface.py petrelcart/benchlink.py tests examples benchmarks
	$(VENV)/mypy

format: build
	$(VENV)/ruff format marlstep petrelcart/interface.py petrelcart/benchlink.py tests examples benchmarks

# PROXY_CONFIG names the node's configuration; OPERATOR may name an operator's file.
run: build
	$(VENV)/python -m marlstep $(if $(OPERATOR),--operator $(OPERATOR))

sim: build
	$(VENV)/python -m petrelcart.benchlink

# Long measurements, outside CI; each prints one JSON object.
bench-traces: build
	$(VENV)/python benchmarks/trace_reading.py

bench-replay: build
	$(VENV)/python benchmarks/replay_again.py
