PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LIBS := $(wildcard libs/*) platform
CASE ?= all
SEEDS ?= 1,2,3
SECONDS ?= 20
NODES ?= 4
# Each test over processes starts up to ten; two fail at times beside other suites.
JOBS ?= 1
SUITES := $(addprefix suite/,libs platform $(sort $(wildcard tests/test_*.py)))

.PHONY: setup demo demo-platform test lint format bench slopes soak soak-streams $(SUITES)

setup: $(VENV)/.done

$(VENV)/.done: requirements.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(addprefix -e ./,$(LIBS))
	touch $@

demo: setup
	$(BIN)/python tools/demo.py

demo-platform: setup
	$(BIN)/python -m sapphirehoist.adapter.tests.demo

test: setup lint
	@$(MAKE) --no-print-directory --keep-going --jobs=$(JOBS) --output-sync=target $(SUITES)

$(SUITES): suite/%: setup
	$(BIN)/python -m pytest $*

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy libs platform tools bench soak

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	$(BIN)/python bench/run.py --case=$(CASE)

soak: setup
	$(BIN)/python soak/play.py --seeds=$(SEEDS) --seconds=$(SECONDS) --nodes=$(NODES)

soak-streams: setup
	$(BIN)/python soak/ordered_streams.py --seeds=$(SEEDS) --seconds=$(SECONDS)

slopes: setup
	$(BIN)/python bench/slopes.py
