# Versions of the tools, kept out of the product's go.mod.
GOLANGCI_VERSION := v2.15.0
GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
GOPLS_VERSION := v0.21.0

.PHONY: all build test race lint format format-check tools run promises measure capacity

all: build

build:
	go build -o bin/ ./cmd/...

# All tests. They need no network beyond loopback and no other files.
# SKIP is a pattern of tests to leave out; CI sets it from KNOWN-RED.txt.
SKIP ?=
test: build
	go test $(if $(SKIP),-skip '$(value SKIP)') ./...

race:
	go test $(if $(SKIP),-skip '$(value SKIP)') -race ./...

lint:
	$(GOLANGCI) run ./...

# Downloads the linter and installs gopls, which renames identifiers. CI does not
# need gopls.
tools:
	$(GOLANGCI) version
	go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

format:
	gofmt -w cmd internal platform

format-check:
	@test -z "$$(gofmt -l cmd internal platform)" || { gofmt -l cmd internal platform; exit 1; }

# A firm for about a minute: live figures, a preset switch, drains, a failure
# and a summary. FIRM is lantern-mount or wijesekera.
FIRM ?= lantern-mount
run: build
	bin/lab run --firm $(FIRM)

# The fault cases against real processes. QUICK=1 runs a choice of them.
promises: build
	bin/lab promises --firm $(FIRM) $(if $(QUICK),--quick)

# The recorded traces against real processes, beside a plain proxy and an ideal
# queue, then docs/MEASURES.md with its CSV and plots. QUICK=1 replays a choice
# within five minutes. PACE is how many seconds a second of the traces lasts.
PACE ?= $(if $(QUICK),1,2)
measure: build
	bin/lab measure --pace $(PACE) $(if $(QUICK),--quick)
	bin/lab report

# What an instance costs as the declared fleet grows, up to 2,400 instances.
capacity: build
	bin/lab capacity
