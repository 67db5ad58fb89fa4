# SPDX-License-Identifier: MIT
VENV ?= .venv
PY := $(VENV)/bin/python

.PHONY: demo test lint bench bench-capacity days check-spec format clean

$(VENV)/.installed: pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(PY) demo/run.py

lint: $(VENV)/.installed
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy

format: $(VENV)/.installed
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

test: $(VENV)/.installed
	$(PY) -m pytest

bench: $(VENV)/.installed
	$(PY) bench/recovery.py
	$(PY) bench/goodput.py

bench-capacity: $(VENV)/.installed
	$(PY) bench/capacity.py

# Days of our own (deploy/days/): FLEETBENCH and SITE name the users' bench and one of
# its site files.
days:
	python3 bench/days.py kept

check-spec:
	sh spec/check.sh

clean:
	rm -rf $(VENV) build .pytest_cache .ruff_cache .mypy_cache
