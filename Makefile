PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core runtime packets store rules configuration discovery flows load outliers queueing placement lookup forwarding zones observability control process platform daemon cli standins proof
SOURCES := packages conftest.py

.PHONY: setup format lint test check demo matrix matrix-long bench

setup: $(VENV)/.ready

# Editable installs share one virtual environment; build tools come first,
# because the packages are built without build isolation.
$(VENV)/.ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --constraint constraints.txt --no-build-isolation $(foreach package,$(PACKAGES),-e ./packages/$(package))
	touch $(VENV)/.ready

format: setup
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix --quiet $(SOURCES)

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/lint-imports --no-cache

test: setup
	$(BIN)/python -m pytest

check: lint test

demo: setup
	$(BIN)/python -m persimmonreach.standins.demo

matrix: setup
	$(BIN)/python -m persimmonreach.proof.matrix

matrix-long: setup
	for seed in 1 2 3 4 5 6; do $(BIN)/python -m persimmonreach.proof.matrix --seed $$seed || exit 1; done

bench: setup
	$(BIN)/python -m persimmonreach.proof.bench
