# bilberrytide: `make demo` shows the main job, `make test` checks everything
# that a change must keep.

GO ?= go
BIN := bin

.PHONY: build demo test lint bench fuzz soak clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Real processes on loopback, bounded, stopped at the end.
demo: build
	bash scripts/demo.sh $(BIN)

test: build
	bash scripts/test.sh

# Faults from outside on the real programs; SOAK takes the program's flags, as in
# make soak SOAK="--seed 0 --seeds 20 --duration 30s".
SOAK ?= --seed 1 --duration 20s
soak: build
	$(BIN)/bilberrytide-soak --program $(BIN)/bilberrytide $(SOAK)

lint:
	bash scripts/lint.sh

# Every table in the docs; BENCH narrows it: make bench BENCH=Policies
BENCH ?= .
bench:
	$(GO) test -run '^$$' -bench '$(BENCH)' -benchmem ./...

# Each decoder for a short while; seeds are in the tests.
FUZZTIME ?= 10s
fuzz:
	bash scripts/fuzz.sh $(FUZZTIME)

clean:
	rm -rf $(BIN)
