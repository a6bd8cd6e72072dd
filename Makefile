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
# Crowds of clients run one at a time and apart from other suites.
CROWDS := $(sort $(wildcard tests/test_crowded_*.py))
SUITES := $(addprefix suite/,libs platform $(filter-out $(CROWDS),$(sort $(wildcard tests/test_*.py))))
CROWD_SUITES := $(addprefix suite/,$(CROWDS))

.PHONY: setup demo demo-platform test lint format bench slopes soak soak-streams $(SUITES) $(CROWD_SUITES)

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
	@status=0; \
	$(MAKE) --no-print-directory --keep-going --jobs=$(JOBS) --output-sync=target $(SUITES) || status=1; \
	$(MAKE) --no-print-directory --keep-going --jobs=1 $(CROWD_SUITES) || status=1; \
	exit $$status

$(SUITES) $(CROWD_SUITES): suite/%: setup
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
