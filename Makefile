PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test demo bench lint format

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

test: setup
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	PATH="$(CURDIR)/$(BIN):$$PATH" sh examples/demo.sh

bench: setup
	$(BIN)/python -m benchmarks
