# Two commands: `make day` sets up and plays the bad Monday, `make test` sets up and passes all checks.
PYTHON ?= python3
VENV ?= .venv
DAY ?= days/bad-monday.sexp
REPORT ?= found/day

.PHONY: setup day test bench

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	$(VENV)/bin/pip -q install --no-deps -e .
	touch $@

day: setup
	$(VENV)/bin/gingergap day play $(DAY) --report $(REPORT)

test: setup
	$(VENV)/bin/ruff format --check --no-cache -q gingergap tests benchmarks
	$(VENV)/bin/ruff check --no-cache gingergap tests benchmarks
	$(VENV)/bin/python -m pytest -q

bench: setup
	$(VENV)/bin/python benchmarks/calls.py
