# Pinned versions of the tools; `make tools` installs them into bin/.
GOFUMPT_VERSION := v0.12.0
GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12

MODULES := core node standin cmd
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
RAPID_SEED := 20261204
FUZZ_TIME := 3s

export GOBIN := $(CURDIR)/bin
export CGO_ENABLED := 1

.PHONY: all build test race lint fmt fmt-check fuzz tools proto dev tidy check slopes

all: build test

build:
	go build -ldflags '-linkmode=external' -o bin/masticbank ./cmd/masticbank
	go build -ldflags '-linkmode=external' -o bin/masticctl ./cmd/masticctl

test:
	go test -race -timeout 15m $(PACKAGES)

tools:
	go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

proto:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	cd node/peer/peerpb && PATH="$(GOBIN):$$PATH" protoc --go_out=. --go_opt=paths=source_relative peer.proto

fmt:
	bin/gofumpt -w $(MODULES)

fmt-check:
	@files="$$(bin/gofumpt -l $(MODULES))"; test -z "$$files" || { echo "not formatted:"; echo "$$files"; exit 1; }

lint:
	@for m in $(MODULES); do (cd $$m && ../bin/golangci-lint run --config ../.golangci.yml ./...) || exit 1; done

dev:
	go run ./cmd/masticctl dev

tidy:
	@for m in $(MODULES); do (cd $$m && go mod tidy) || exit 1; done

check: fmt-check lint build test
