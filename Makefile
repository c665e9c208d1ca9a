# What one needs day by day; .ci/run does lint and test in an environment of its own.
PYTHON = .venv/bin/python

.PHONY: try rehearse build dev test lint run measure

build:
	$(PYTHON) -m pip --version >/dev/null 2>&1 || python3 -m venv .venv
	$(PYTHON) -m pip -q --disable-pip-version-check install -r requirements.txt

dev: build
	$(PYTHON) -m pip -q --disable-pip-version-check install -r requirements-dev.txt

# Three coordinators that hold things in common, among stand-ins, of which one is lost with its folder.
try: build
	$(PYTHON) -m pip -q --disable-pip-version-check install -r requirements-tools.txt
	$(PYTHON) -m ambershift.coordinator.standins

# The whole system as processes on this machine, among stand-ins; a proxy is killed, another ended in order.
rehearse: build
	$(PYTHON) -m pip -q --disable-pip-version-check install -r requirements-system.txt
	$(PYTHON) -B -m ambershift.system.testbed

test: dev
	$(PYTHON) -m pytest -q

lint: dev
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy

run: build
	exec $(PYTHON) -B -m ambershift

measure: dev
	$(PYTHON) -m benchmarks.runtime_socket
	$(PYTHON) -m benchmarks.model_checking
	$(PYTHON) -m benchmarks.fleet_beat
	$(PYTHON) -m benchmarks.replication
	$(PYTHON) -m benchmarks.group
	$(PYTHON) -m benchmarks.group_disk
	$(PYTHON) -m benchmarks.heard_state
	$(PYTHON) -m benchmarks.takeover
	$(PYTHON) -m benchmarks.maintenance
	$(PYTHON) -m benchmarks.interference
