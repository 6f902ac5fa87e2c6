PYTHON ?= python3
VENV := .venv
RUN := PYTHONPATH=src:. $(VENV)/bin/python
STAMP := $(VENV)/.requirements-installed

.PHONY: setup demo test format pages prove-failing soak forwarding-soak replay overhead decision-cost claims journal-index histories

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: setup
	$(RUN) scripts/demo.py

test: setup
	$(VENV)/bin/ruff format --check --quiet src standins bench scripts tests
	$(VENV)/bin/ruff check --quiet src standins bench scripts tests
	$(RUN) -m pytest --numprocesses=3 --dist=worksteal

format: setup
	$(VENV)/bin/ruff format src standins bench scripts tests
	$(VENV)/bin/ruff check --fix src standins bench scripts tests

pages: setup
	$(RUN) scripts/generate_error_page.py

overhead: setup
	$(RUN) -m bench.overhead measure

prove-failing: setup
	$(RUN) scripts/prove_failing.py

SEED ?= 1
SECONDS ?= 60
soak: setup
	$(RUN) -m bench.soak --seed $(SEED) --seconds $(SECONDS)

COUNT ?= 1000
histories: setup
	$(RUN) scripts/play_histories.py --count $(COUNT) $(if $(HISTORY_SEED),--seed $(HISTORY_SEED))

NODES ?= 0
forwarding-soak: setup
	$(RUN) -m bench.forwarding.soak --seed $(SEED) --seconds $(SECONDS) --nodes $(NODES) \
		$(if $(OLDER),--older "'$(OLDER)'") $(if $(NOTICES),--notices) $(if $(DEADLY),--deadly) $(if $(LIMITS),--limits) \
		$(if $(CRESTS),--crests) $(if $(PATHS),--paths) $(if $(VERSIONS),--versions) $(if $(CROWDS),--crowds) $(if $(POWER),--power) $(if $(ENDS),--ends) $(if $(GARBAGE),--garbage) $(if $(REBORN),--reborn) $(if $(HEADS),--heads) $(if $(RETRIES),--retries) $(if $(ISOLATION),--isolation) $(if $(FOREIGN),--foreign)

replay: setup
	$(RUN) -m bench.replay

decision-cost: setup
	$(RUN) -m bench.decision_cost
	$(RUN) -m bench.dispatch_cost

claims: setup
	$(RUN) -m bench.claims

journal-index: setup
	$(RUN) scripts/generate_journal_index.py
