# Targets for developers. "make demo" and "make test" need only Go and make.

GOLANGCI_LINT = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
TOOLS = $(CURDIR)/.tools

.PHONY: build demo demo-full test prove prove-guards soak days figures slopes lint format generate settings tools

build:
	go build -o bin/ ./cmd/... ./examples/demo

demo: build
	bin/demo

demo-full: build
	bin/demo -full

test:
	go test -race ./...

# Runs the tests of all promises over many seeds and sums up their result lines.
PROVE_SEEDS ?= 200
prove:
	PROVE_SEEDS=$(PROVE_SEEDS) go test -count=1 -timeout 60m -run TestPromise -v ./... | awk -f prover/sum.awk

# Checks that for each guard a test fails without the guarded code.
prove-guards:
	guards/check

# Injects faults into real entries, with SEEDS seeds from SOAK_FIRST on, and keeps
# the logs of seeds with a broken promise.
SEEDS ?= 50
SOAK_FIRST ?= 1
soak:
	go run ./cmd/cbsoak -seeds $(SEEDS) -first $(SOAK_FIRST)

# Runs the scenarios in deploy/days on one deployment of the users' bench, and fails
# if a rule is broken: make days BENCH=PROGRAM SITE=FILE [DAYS=FILES]
DAYS ?= deploy/days/*.toml
days:
	@failed=0; for day in $(DAYS); do \
		output=$$($(BENCH) run $(SITE) $$day --why "day of our own") || failed=1; \
		echo "$$output" | grep -E "^$$(sed -n 's/^name = "\(.*\)"/\1/p' $$day) |BROKEN" || true; \
		if echo "$$output" | grep -q BROKEN; then failed=1; fi; \
	done; exit $$failed

# Replays each trace, compares the figures with the trace's expected outcome and
# prints the tables. Then runs the benchmarks of planning and of the request path.
figures: build
	@failed=0; for trace in traces/planner/*.jsonl traces/router/*.jsonl traces/limiter/*.jsonl traces/retrier/*.jsonl; do \
		bin/cbreplay -trace $$trace -outcome $${trace%.jsonl}.outcome.json || failed=1; \
	done; exit $$failed
	go test -run '^$$' -bench Preference -benchtime 1x ./replayer/placer
	go test -run '^$$' -bench 'BenchmarkPlan/ranks=128/experts=256/layers=60' -benchtime 10x -cpu 1 ./planner/drift
	go test -run '^$$' -bench AddedLatency -benchtime 5000x ./server
	go test -run '^$$' -bench Allocations -benchtime 2000x ./server

# Measures the cost of the control plane for each role at several fleet sizes.
slopes: build
	bin/cbslopes

# Installs development tools at pinned versions, outside the module's dependencies.
tools: $(TOOLS)/golangci-lint $(TOOLS)/buf $(TOOLS)/protoc-gen-go

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install $(GOLANGCI_LINT)

$(TOOLS)/buf: tools/generator/go.mod
	cd tools/generator && GOBIN=$(TOOLS) go install tool

$(TOOLS)/protoc-gen-go:
	GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go

lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint fmt --diff
	$(TOOLS)/golangci-lint run

format: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint fmt

generate: $(TOOLS)/buf $(TOOLS)/protoc-gen-go
	PATH="$(TOOLS):$$PATH" $(TOOLS)/buf generate

# Generates the settings reference from the struct tags of the loader.
settings:
	UPDATE_SETTINGS=1 go test -count=1 -run TestSettingsPageIsThatOfTheCode ./loader
