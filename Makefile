VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
# Run from this checkout, also when VENV is shared between work trees.
export PYTHONPATH = $(CURDIR)/src:$(CURDIR):$(CURDIR)/platform
export PYTHONHASHSEED = 0

.PHONY: demo test lint format bench promises

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable ".[dev,plots]"
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m tanagerkeel.cli.standin demo

test: $(VENV)/.installed
	$(BIN)/python -m tests

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

promises: $(VENV)/.installed
	$(BIN)/python -m tests --promises

bench: $(VENV)/.installed
	$(BIN)/python -m bench
