# Two commands matter: `make demo` and `make test`.
VENV ?= .venv
PYTHON ?= python3
TEXT ?= examples/rautasilta.yaml
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: env demo test format lint types check bench

env: $(VENV)/.installed

INSTALL := $(BIN)/pip install --quiet --disable-pip-version-check \
	--constraint constraints.txt --editable

# What the programs need, and what the checks need besides.
$(VENV)/.runtime: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(INSTALL) .
	touch $@

$(VENV)/.installed: $(VENV)/.runtime
	$(INSTALL) '.[test]'
	touch $@

demo: $(VENV)/.runtime
	BIN=$(BIN) TEXT=$(TEXT) bash demo/run.sh

test: env
	$(BIN)/python -m pytest

format: env
	$(BIN)/ruff check --quiet --fix .
	$(BIN)/ruff format --quiet .

lint: env
	$(BIN)/ruff check --quiet .
	$(BIN)/ruff format --quiet --check .
	$(BIN)/flake8 src testing bench demo
	$(BIN)/lint-imports --no-cache

types: env
	$(BIN)/mypy

check: lint types test

# About 12 minutes and 8 GB; measures, then rewrites docs/measures/.
bench: env
	BIN=$(BIN) bash bench/run.sh
