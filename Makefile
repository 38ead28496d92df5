GO ?= go

.PHONY: build test lint demo bench capacity fuzz matrix experiment

build:
	$(GO) build -o bin/ ./cmd/...

# All tests. With KNOWN_RED=KNOWN-RED.txt, as CI runs them, those that the file lists do
# not count.
test:
	GO=$(GO) scripts/test.sh $(KNOWN_RED)

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "gofmt: $$files"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

demo:
	GO=$(GO) scripts/demo.sh
	$(GO) test ./soak -run TestDemo -count=1 -v

experiment:
	$(GO) run ./cmd/experiment --out docs/experiments

fuzz:
	GO=$(GO) scripts/fuzz.sh

# Benchmarks of the datagram path and the core: decisions with 15 and with 29,000
# targets, added latency at half load, datagrams per second on one processor core,
# memory of feeds.
bench:
	$(GO) test ./internal/core -run '^$$' -bench 'Request|Grant|Admit|Relay|Tick' -benchtime 300ms
	$(GO) test ./internal/core -run '^$$' -bench FeedMemory -benchtime 1x
	$(GO) test ./internal/daemon -run '^$$' -bench 'AddedLatency|DatagramsPerCore|ServiceSockets' -benchtime 2x
	$(GO) test ./internal/daemon -run '^$$' -bench 'SocketPath' -benchtime 500ms
	$(GO) test ./internal/passthrough -run '^$$' -bench . -benchtime 300ms

# Capacity measurements: how costs grow with size, and the values at the target
# size. Finishes within 4 minutes.
capacity:
	$(GO) run ./cmd/capacity --out docs/capacity --cores $(or $(CORES),2)

matrix:
	PROOF_MATRIX=$(CURDIR)/docs/matrix.txt $(GO) test ./internal/proof -run TestFaultMatrix -count=1
	@cat docs/matrix.txt
