PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*) platform soak
EDITABLE := $(addprefix -e ./,$(PACKAGES))
STAMP := $(VENV)/.installed

.PHONY: demo test lint format clean

$(STAMP): constraints.txt pyproject.toml $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --upgrade 'pip>=25.1' -c constraints.txt
	$(BIN)/pip install --quiet -c constraints.txt --group dev $(EDITABLE)
	touch $@

setup: $(STAMP)

demo: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" bash examples/demo.sh

test: $(STAMP)
	$(BIN)/pytest -n 4 --dist loadscope

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 packages platform soak tests examples
	$(BIN)/mypy packages/*/src platform/src soak/src
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf $(VENV) build
