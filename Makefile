VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.ready-$(shell sha256sum requirements.lock | cut -c1-12)

.PHONY: help demo demo-daemons play test lint format setup

# The first target: plain "make" tells what there is.
help:
	@echo "make demo          godwit-vm with faults for half a minute; a picture in out/"
	@echo "make demo-daemons  the three daemons of our own interface, likewise"
	@echo "make play          a whole system of daemons until Ctrl-C"
	@echo "make test          formatter, linter and every test"
	@echo "make format        formats the sources"

demo: setup
	$(BIN)/python -m godwitlanding.tests.tools.demo

demo-daemons: setup
	$(BIN)/python -m godwitlanding.tests.tools.demo_daemons

play: setup
	$(BIN)/python -m godwitlanding.tests.tools.play

# Most tests wait for real processes, so more run at once than a core each.
JOBS ?= 6

test: lint
	$(BIN)/python -m pytest -n $(JOBS) --dist loadgroup

lint: setup
	$(BIN)/black --check --quiet --diff godwitlanding
	$(BIN)/isort --check-only --diff godwitlanding
	$(BIN)/flake8 godwitlanding

format: setup
	$(BIN)/isort godwitlanding
	$(BIN)/black --quiet godwitlanding

setup: $(STAMP)

$(STAMP):
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@
