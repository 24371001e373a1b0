PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test run soak lint format check binary bench-relay bench-policy bench-sizing lock clean

$(STAMP): requirements-dev.txt pyproject.toml
	@$(PYTHON) -m venv $(VENV) 1>&2
	@$(BIN)/pip install -q --require-hashes -r requirements-dev.txt 1>&2
	@$(BIN)/pip install -q --no-deps --no-build-isolation -e . 1>&2
	@touch $(STAMP)

run: $(STAMP)
	@exec $(BIN)/clementinedyke demo

lint: $(STAMP)
	$(BIN)/ruff format --check src tests bench
	$(BIN)/ruff check src tests bench
	$(BIN)/flake8 src tests bench
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format src tests bench
	$(BIN)/ruff check --fix src tests bench

test: $(STAMP) lint
	$(BIN)/pytest

binary: $(STAMP)
	sh bench/build_binary.sh

bench-relay: $(STAMP)
	$(BIN)/python -m bench.relay

bench-policy: $(STAMP)
	$(BIN)/python -m bench.policy

bench-sizing: $(STAMP)
	$(BIN)/python -m bench.sizing

lock:
	$(BIN)/pip-compile -q --strip-extras --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --generate-hashes --allow-unsafe --extra dev -o requirements-dev.txt pyproject.toml
	$(BIN)/pip-compile -q --strip-extras --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --generate-hashes --allow-unsafe -o requirements.txt pyproject.toml

soak: $(STAMP)
	$(BIN)/python -m tests.drill_soak --seeds $(or $(SEED),1) --seconds $(or $(SECONDS),60)

clean:
	rm -rf $(VENV) build dist
