# Targets for developers. "make demo" and "make test" need Go and make alone.

GOLANGCI_LINT = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
TOOLS = $(CURDIR)/.tools

.PHONY: build demo demo-full test lint format generate tools figures

build:
	go build -o bin/ ./cmd/... ./examples/demo

demo: build
	bin/demo

demo-full: build
	bin/demo -full

test:
	go test -race ./...

# Tools live outside the product's module graph, each at a pinned version.
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

# Replays every trace with the outcome beside it and prints the tables.
figures: build
	@failed=0; for trace in traces/*/*.jsonl; do \
		bin/cbreplay -trace $$trace -outcome $${trace%.jsonl}.outcome.json || failed=1; \
	done; exit $$failed
	go test -run '^$$' -bench Preference -benchtime 1x ./replayer/placer
	go test -run '^$$' -bench 'BenchmarkPlan/ranks=128/experts=256/layers=60' -benchtime 10x -cpu 1 ./planner/drift
