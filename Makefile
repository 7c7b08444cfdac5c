PYTHON ?= python3
SITE ?= deploy/appliance.toml

.PHONY: build test lint run toy appliance console

build: .venv/bin/python .venv-dev/bin/pytest

.venv/bin/python: requirements.txt requirements-appliance.txt
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-appliance.txt
	touch $@

.venv-dev/bin/pytest: requirements.txt requirements-appliance.txt pyproject.toml
	$(PYTHON) -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -r requirements-appliance.txt $$($(PYTHON) -c 'import tomllib; print(*tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]["dev"])')
	touch $@

test: .venv-dev/bin/pytest
	.venv-dev/bin/python -m pytest -q

lint: .venv-dev/bin/pytest
	.venv-dev/bin/ruff check .
	.venv-dev/bin/ruff format --check .
	.venv-dev/bin/mypy

# The example's router; its caches are started by 'make toy SITE=example/config.json'.
run: .venv/bin/python
	GW_CONFIG=example/config.json .venv/bin/python -m brackenlane

# A small site's router with the DNS front; its caches and resolver are started by 'make toy'.
appliance: .venv/bin/python
	.venv/bin/python -m brackenlane appliance $(SITE)

toy: .venv/bin/python
	.venv/bin/python example/toy_site.py $(SITE)

console: .venv/bin/python
	.venv/bin/python -m brackenlane console $(SITE)
