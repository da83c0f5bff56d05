PYTHON = .venv/bin/python

.PHONY: build test lint run servers demo client publish fuzz sites

KIT = ../given/kit

build:
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q --disable-pip-version-check install -r requirements-dev.txt

test:
	$(PYTHON) -m pytest

lint:
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache

run:  # with the example's configuration; "make servers" in another terminal gives it somebody to talk to
	RELAY_CONFIG=example/config.json $(PYTHON) -m wheatstile

servers:
	$(PYTHON) example/toy_server.py

demo: build  # servers, discovery and a balancer that follows example/live.json; Ctrl-C ends all
	$(PYTHON) example/toy_server.py & trap "kill $$!" EXIT; \
	RELAY_CONFIG=example/config.json $(PYTHON) -m wheatstile serve --file example/operator.json --log-format console

client:
	$(PYTHON) example/client.py

publish:  # a file of servers, checked, sealed, and taken by the balancer of "make demo"
	$(PYTHON) -m wheatstile servers publish example/servers.json example/live.json --bump --file example/operator.json

fuzz:  # the reader of descriptions, for a minute; atheris has no wheel for every Python
	$(PYTHON) -m pip -q --disable-pip-version-check install atheris==3.0.0
	PYTHONPATH=. $(PYTHON) tests/descriptions/fuzz_reader.py -max_total_time=60 -artifact_prefix=found/

sites:  # lays the kit's files beside our variants, so that its bench plays them; nothing of the kit is committed
	cp -f $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
