PYTHON = .venv/bin/python

.PHONY: build test lint run servers

build:
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q --disable-pip-version-check install -r requirements-dev.txt

test:
	$(PYTHON) -m pytest

lint:
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache

run:  # with the example's configuration; "make servers" in another terminal gives it somebody to talk to
	RELAY_CONFIG=example/config.json $(PYTHON) -m wheatstile

servers:
	$(PYTHON) example/toy_server.py
