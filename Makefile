PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check bench format clean

$(BIN)/python:
	$(PYTHON) -m venv $(VENV)

$(VENV)/.run: requirements/run.lock pyproject.toml | $(BIN)/python
	$(BIN)/pip install --quiet --require-hashes -r requirements/run.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

$(VENV)/.dev: requirements/dev.lock $(VENV)/.run
	$(BIN)/pip install --quiet --require-hashes -r requirements/dev.lock
	touch $@

demo: $(VENV)/.run
	$(BIN)/hawthornyard demo

test: $(VENV)/.dev
	$(BIN)/python tools/run_features.py

check: $(VENV)/.dev
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python tools/error_table.py --check
	$(BIN)/python tools/configuration_tables.py --check
	$(BIN)/python tools/tracked_links.py

bench: $(VENV)/.dev
	$(BIN)/python -m benchmarks

format: $(VENV)/.dev
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build reports
