GO ?= go
PACKAGES = ./...

.PHONY: all build test lint fmt check demo bench soak generate

all: build

build:
	$(GO) build -o bin/ ./cmd/... ./test/cmd/...

test: build
	$(GO) test $(PACKAGES)

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

# Runs a random mix of faults for a bounded time; not part of CI.
SEED ?= 1
MINUTES ?= 5
soak:
	$(GO) test ./test/integration -count=1 -v -timeout 0 -scenario.soak $(MINUTES) -scenario.seed $(SEED)
