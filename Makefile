# bilberrytide: `make demo` shows the main job, `make test` checks everything
# that a change must keep.

GO ?= go
BIN := bin

.PHONY: build demo test lint bench fuzz clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Real processes on loopback, bounded, stopped at the end.
demo: build
	bash scripts/demo.sh $(BIN)

test: build
	bash scripts/test.sh

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
