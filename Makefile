# Targets for developers. "make demo" and "make test" need Go and make alone.

GOLANGCI_LINT = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
TOOLS = $(CURDIR)/.tools

.PHONY: build demo demo-full test lint format generate settings tools

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

# The settings reference is made from the loader's tags.
settings:
	UPDATE_SETTINGS=1 go test -count=1 -run TestSettingsPageIsThatOfTheCode ./loader
