# Every target sets up its own virtual environment in .venv; nothing touches
# the system's Python.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
SECONDS ?= 20
SEEDS ?= 1:100

.PHONY: all demo test lint docs format bench soak site-soak leader-soak clean

all: test

$(STAMP): pyproject.toml requirements/lock.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint requirements/lock.txt \
	    --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -W ignore tools/site_demo.py
	$(BIN)/python examples/demo.py --seed $(SEED)

test: $(STAMP)
	$(BIN)/python tools/run_scenarios.py

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/generate_docs.py --check

docs: $(STAMP)
	$(BIN)/python tools/generate_docs.py

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python benchmarks/run.py

soak: $(STAMP)
	$(BIN)/python tools/soak.py --seed $(SEED) --seconds $(SECONDS)

site-soak: $(STAMP)
	$(BIN)/python -W ignore tools/site_soak.py --seed $(SEED) \
	    --seconds $(SECONDS)

leader-soak: $(STAMP)
	$(BIN)/python tools/leader_soak.py --seeds $(SEEDS)

clean:
	rm -rf $(VENV) build dist
