.PHONY: all install format lint test demo soak fleetsoak measure bench wire clean

VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = model policy wire platform node gateway cli standins
STAMP = $(VENV)/.installed

all: lint test

$(STAMP): constraints.txt requirements-dev.txt $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --constraint constraints.txt --no-build-isolation \
		--requirement requirements-dev.txt $(PACKAGES:%=--editable packages/%) --editable platform
	touch $(STAMP)

install: $(STAMP)

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: $(STAMP)
	$(BIN)/python -m tests

demo: $(STAMP)
	$(BIN)/python -m radishcourse_standins.demo

soak: $(STAMP)
	$(BIN)/python -m tests.soak

fleetsoak: $(STAMP)
	$(BIN)/python -m tests.fleetsoak --seeds 1-50

measure: $(STAMP)
	$(BIN)/python -m radishcourse_standins.measure all

bench: $(STAMP)
	$(BIN)/python -m radishcourse_standins.bench

# Needs Debian's thrift-compiler; the generated code is committed.
wire:
	thrift --gen py:slots -out packages/wire/src/radishcourse_wire/gen packages/wire/peer.thrift

clean:
	rm -rf $(VENV)
