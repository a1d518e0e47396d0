# The targets are the interface of this repository; see README.md.

MODULES := kernel control router operator bench platform
PROGRAMS := marigold-control marigold-router marigold marigold-bench
BIN := bin
FUZZTIME ?= 30s
CROWDS := ^TestCrowd

.PHONY: all build test crowds race matrix vet lint format-check format gopls run bench fuzz ci clean

all: build

build:
	go build -o $(BIN)/marigold-control ./control
	go build -o $(BIN)/marigold-router ./router
	go build -o $(BIN)/marigold ./operator
	go build -o $(BIN)/marigold-bench ./bench

test:
	go test -timeout 20m -skip '$(CROWDS)' $(addprefix ./,$(addsuffix /...,$(MODULES)))
	$(MAKE) crowds

# Crowds of clients at each address of real processes. They measure memory, so they run one
# at a time, apart from other tests and without the race detector.
crowds:
	go test -count 1 -timeout 20m -run '$(CROWDS)' ./platform

# The race detector of arm64 can end itself in long tests ("CHECK failed: tsan_rtl.cpp").
# These packages run without it there, as part of "make test".
ifeq ($(shell uname -m),aarch64)
RACE_EXCLUDED := marigoldhill/bench/matrix
endif

race:
	go test -race -timeout 20m -skip '$(CROWDS)' $(filter-out $(RACE_EXCLUDED),$(shell go list $(addprefix ./,$(addsuffix /...,$(MODULES)))))

# Every fault at every step; "make test" runs a fixed part of them.
matrix:
	go test -timeout 60m ./bench/matrix -args -every 1

vet:
	go vet $(addprefix ./,$(addsuffix /...,$(MODULES)))

format-check:
	@files=$$(gofmt -s -l $(MODULES)); \
	if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi

format:
	gofmt -s -w $(MODULES)

# The linter is pinned in tools/go.mod, apart from the programs' own modules.
$(BIN)/staticcheck: tools/go.mod tools/go.sum
	cd tools && GOWORK=off go build -o ../$(BIN)/staticcheck honnef.co/go/tools/cmd/staticcheck

# gopls needs another version of golang.org/x/tools than the linter, so it is
# pinned in a module of its own. To rename an identifier in the whole workspace:
# bin/gopls rename -w path/file.go:LINE:COLUMN newName
$(BIN)/gopls: tools/renamer/go.mod tools/renamer/go.sum
	cd tools/renamer && GOWORK=off go build -o ../../$(BIN)/gopls golang.org/x/tools/gopls

gopls: $(BIN)/gopls

lint: format-check vet $(BIN)/staticcheck
	$(BIN)/staticcheck $(addprefix ./,$(addsuffix /...,$(MODULES)))

run: build
	$(BIN)/marigold-bench playground

# Benchmarks at several sizes, with a line fitted to each series. Not in CI.
bench: build
	go test -run '^$$' -bench . -benchmem -timeout 60m $(addprefix ./,$(addsuffix /...,$(MODULES))) | tee $(BIN)/bench.txt
	$(BIN)/marigold-bench fit < $(BIN)/bench.txt

fuzz:
	go test -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZTIME) ./kernel/framer
	go test -run '^$$' -fuzz FuzzBytes -fuzztime $(FUZZTIME) ./kernel/parser
	go test -run '^$$' -fuzz FuzzReceive -fuzztime $(FUZZTIME) ./kernel/linker
	go test -run '^$$' -fuzz FuzzHeads -fuzztime $(FUZZTIME) ./kernel/listener
	go test -run '^$$' -fuzz FuzzAnswers -fuzztime $(FUZZTIME) ./router/requester
	go test -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZTIME) ./control/journaler

ci: lint test race matrix

clean:
	rm -rf $(BIN)
