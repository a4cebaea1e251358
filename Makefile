# Pinned versions of the tools. `make tools` installs the first two into bin/,
# `make proto` the third.
GOFUMPT_VERSION := v0.12.0
GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12

MODULES := core node platform standin cmd
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
RAPID_SEED := 20261204
FUZZ_TIME := 3s

export GOBIN := $(CURDIR)/bin
export CGO_ENABLED := 1

.PHONY: all build test race lint fmt fmt-check fuzz fuzz-corpus reference reference-check tools proto dev tidy check slopes soak

all: build test

build:
	go build -ldflags '-linkmode=external' -o bin/masticbank ./cmd/masticbank
	go build -ldflags '-linkmode=external' -o bin/masticctl ./cmd/masticctl

# The tests of crowds of clients measure processes, so they have the machine for themselves.
test:
	go test -race -timeout 15m $$(go list $(PACKAGES) | grep -v '/internal/crowd$$')
	go test -count=1 -timeout 15m ./cmd/internal/crowd

# Prints every fuzz target as file:name, one per line.
FUZZ_TARGETS := grep -rHo --include='*_test.go' '^func Fuzz[A-Za-z]*' $(MODULES) | sed 's/func //'

# Fuzzes each target for FUZZ_TIME. The outcome depends on the machine and its
# load, so CI runs only fuzz-corpus.
fuzz:
	@$(FUZZ_TARGETS) | while IFS=: read -r file name; do \
		go test -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FUZZ_TIME) "./$$(dirname "$$file")" </dev/null || exit 1; \
	done

# Runs each fuzz target on its committed corpus, which must not be empty.
fuzz-corpus:
	@$(FUZZ_TARGETS) | while IFS=: read -r file name; do \
		dir="$$(dirname "$$file")"; \
		test -n "$$(ls "$$dir/testdata/fuzz/$$name" 2>/dev/null)" || { echo "$$dir: no corpus for $$name"; exit 1; }; \
		go test -count=1 -run "^$$name\$$" "./$$dir" </dev/null || exit 1; \
	done

# Prints docs/OPERATIONS.md with the current settings reference between its two
# markers. Fails if a marker is missing.
OPERATIONS := docs/OPERATIONS.md
WITH_SETTINGS = awk -v table=bin/settings.md ' \
	/^<!-- settings: begin -->$$/ { print; while ((getline line < table) > 0) print line; skip = 1; begin = 1 } \
	/^<!-- settings: end -->$$/ { skip = 0; end = begin } \
	!skip { print } \
	END { exit !end }' $(OPERATIONS)

bin/settings.md: FORCE
	@mkdir -p bin
	@go run ./cmd/masticbank settings > $@

.PHONY: FORCE
FORCE:

reference: bin/settings.md
	$(WITH_SETTINGS) > bin/operations.md
	cp bin/operations.md $(OPERATIONS)

reference-check: bin/settings.md
	@$(WITH_SETTINGS) > bin/operations.md || { echo "$(OPERATIONS): a settings marker is missing"; exit 1; }
	@diff -u $(OPERATIONS) bin/operations.md || { echo "$(OPERATIONS) is out of date: run make reference"; exit 1; }

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

SEEDS := 50
FIRST := 1

# Runs the fault soak test for SEEDS seeds, starting at FIRST. The logs of failed
# seeds are kept in bin/soak.
soak:
	@mkdir -p bin/soak
	go test -count=1 -v -timeout 120m ./cmd/internal/soak -run TestSoak -soak.seeds $(SEEDS) -soak.first $(FIRST) -soak.keep $(CURDIR)/bin/soak

dev:
	go run ./cmd/masticctl dev

tidy:
	@for m in $(MODULES); do (cd $$m && go mod tidy) || exit 1; done

check: fmt-check lint build test fuzz-corpus reference-check

SLOPE_TIME := 200ms
SLOPE := go test -run '^$$' -benchtime=$(SLOPE_TIME)

# Runs the benchmarks and tests whose cost figures (slopes) docs/CAPACITY.md uses.
slopes:
	$(SLOPE) -bench 'Request|Control|Configure|SetInstances|DecodeList|Memory' ./node/router
	$(SLOPE) -bench . ./node/api ./node/engine/httpjson ./node/config
	$(SLOPE) -bench 'Observe|Rotate|Snapshot' ./node/metrics
	$(SLOPE) -bench 'Digests|EncodeDigest' ./node/peer
	$(SLOPE) -bench 'Choose$$' ./core/route ./core/pipeline
	$(SLOPE) -bench Plan ./core/layout
	$(SLOPE) -bench 'Queue' ./core/admission
	$(SLOPE) -bench 'Shares' ./core/demand
	$(SLOPE) -bench . ./core/neighbor
	go test -run '^$$' -benchtime=30000x -bench Table ./core/order
	go test -count=1 -v -run 'Fleet|Covered' ./core/neighbor
	go test -count=1 -v -run OneAppend ./node/leader
