GO ?= go
PACKAGES = ./...
PLATFORM_PARTS = platform-processes platform-stops platform-mesh platform-rest

.PHONY: all build test unit-tests $(PLATFORM_PARTS) platform-clients lint fmt check demo bench soak soak-sidecar generate tools

all: build

build:
	$(GO) build -o bin/ ./cmd/... ./test/cmd/...

# The specs that bound a process's memory run apart from other load. The integration
# scenarios come last and alone, since each starts a few dozen processes.
# Only with -v are the failures printed that KNOWN-RED.txt lists.
test: build
	+$(MAKE) -j --keep-going --output-sync=target $(PLATFORM_PARTS) unit-tests
	+$(MAKE) platform-clients
	$(GO) test -count=1 -v ./test/integration

unit-tests:
	$(GO) test $$($(GO) list $(PACKAGES) | grep -v -e /test/integration -e 'magnoliamount/platform$$')

# The specs of package platform mostly wait, so they run as several processes at once.
# The last part runs every file that no other part names.
SPECS_processes = /platform/(signals|soak)_test
SPECS_stops = /platform/(late|endless|early_response)_test
SPECS_mesh = /platform/(path|restore)_test
SPECS_clients = /platform/clients_test
platform-processes platform-stops platform-mesh platform-clients: platform-%:
	$(GO) test ./platform -ginkgo.focus-file '$(SPECS_$*)'
platform-rest:
	$(GO) test ./platform -ginkgo.skip-file '$(SPECS_processes)' -ginkgo.skip-file '$(SPECS_stops)' -ginkgo.skip-file '$(SPECS_mesh)' -ginkgo.skip-file '$(SPECS_clients)'

fmt:
	gofmt -w $$(git ls-files '*.go')

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "gofmt: $$files"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)

generate:
	$(GO) generate ./internal/wire/...

# Runs the whole path as separate processes on loopback addresses.
demo: build
	bin/demo

# Measures the system in under 10 minutes. BENCH_FLAGS chooses parts, such as
# --distribution; raw results go to BENCH_OUT.
BENCH_OUT ?= bench-results
bench: build
	bin/bench --out $(BENCH_OUT) --commit "$$(git describe --always --dirty)" $(BENCH_FLAGS)

# Runs a random mix of faults for a bounded time; not part of CI.
SEED ?= 1
MINUTES ?= 5
soak:
	$(GO) test ./test/integration -count=1 -v -timeout 0 -scenario.soak $(MINUTES) -scenario.seed $(SEED)

# Runs the sidecar's processes on the stand-in of the platform's store under planned
# work and faults; CI runs it with seed 1.
SOAK_VMS ?= 6
SOAK_SECONDS ?= 60
soak-sidecar:
	$(GO) test ./platform -count=1 -v -timeout 0 -ginkgo.v -ginkgo.focus 'the soak keeps' -soak.seed $(SEED) -soak.vms $(SOAK_VMS) -soak.seconds $(SOAK_SECONDS)

# Installs the rename tool: bin/gopls rename -w FILE:LINE:COLUMN NAME.
# Later versions of gopls need a later Go than go.mod names.
GOPLS_VERSION = v0.23.0
tools:
	GOBIN=$(CURDIR)/bin $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
