GO ?= go

.PHONY: build test lint demo bench fuzz matrix experiment

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test ./...

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "gofmt: $$files"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

demo:
	GO=$(GO) scripts/demo.sh

experiment:
	$(GO) run ./cmd/experiment --out docs/experiments

fuzz:
	GO=$(GO) scripts/fuzz.sh

matrix:
	PROOF_MATRIX=$(CURDIR)/docs/matrix.txt $(GO) test ./internal/proof -run TestFaultMatrix -count=1
	@cat docs/matrix.txt
