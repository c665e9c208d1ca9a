# What one needs day by day; .ci/run does lint and test in an environment of its own.
PYTHON = .venv/bin/python

.PHONY: build dev test lint run measure

build:
	$(PYTHON) -m pip --version >/dev/null 2>&1 || python3 -m venv .venv
	$(PYTHON) -m pip -q --disable-pip-version-check install -r requirements.txt

dev: build
	$(PYTHON) -m pip -q --disable-pip-version-check install -r requirements-dev.txt

test: dev
	$(PYTHON) -m pytest -q

lint: dev
	$(PYTHON) -m ruff check ambershift tests benchmarks
	$(PYTHON) -m mypy

run: build
	exec $(PYTHON) -B -m ambershift

measure: dev
	$(PYTHON) -m benchmarks.runtime_socket
	$(PYTHON) -m benchmarks.model_checking
	$(PYTHON) -m benchmarks.fleet_beat
