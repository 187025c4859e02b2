# Everything is built with Go, make and a C compiler; tools are pinned here.
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
REVIVE := github.com/mgechev/revive@v1.17.0
# Renames across all modules of the workspace; a newer one needs a newer Go.
GOPLS := golang.org/x/tools/gopls@v0.23.0
MODULES := steer links platform hitchd hitchctl standin
BIN := $(CURDIR)/bin
# Recorded trace and deployment (pall or lens) of the demo.
TRACE := traces/demo.jsonl
DEPLOYMENT := pall
# First port of the demo on loopback.
PORT := 17000
# Seeds of the fault soak; a fresh one is drawn when there are none.
SEEDS :=
# Length of a fuzz run of each target, as a number of inputs (x) or a time.
FUZZTIME := 3000x
# What --version prints.
VERSION := $(shell git describe --tags --always --dirty 2>/dev/null || echo development)
export GOFLAGS :=

.PHONY: all build tools gopls test fmt lint unit fuzz bench demo soak clean

all: build

build:
	@mkdir -p $(BIN)
	go build -ldflags '-X main.version=$(VERSION)' -o $(BIN)/ ./hitchd ./hitchctl ./standin

tools: $(BIN)/gofumpt $(BIN)/revive

$(BIN)/gofumpt:
	GOBIN=$(BIN) go install $(GOFUMPT)

$(BIN)/revive:
	GOBIN=$(BIN) go install $(REVIVE)

$(BIN)/gopls:
	GOBIN=$(BIN) go install $(GOPLS)

gopls: $(BIN)/gopls

test: lint unit

fmt: tools
	$(BIN)/gofumpt -w $(MODULES)

lint: tools
	@out=$$($(BIN)/gofumpt -l $(MODULES)); if [ -n "$$out" ]; then echo "not formatted, run make fmt:"; echo "$$out"; exit 1; fi
	@set -e; for m in $(MODULES); do (cd $$m && $(BIN)/revive -config ../revive.toml -set_exit_status ./... && go vet ./...); done

unit:
	@.ci/unit $(MODULES)

fuzz:
	cd hitchd && go test -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZTIME) -fuzzminimizetime 5x ./internal/conns
	cd links && go test -run '^$$' -fuzz FuzzScanner -fuzztime $(FUZZTIME) -fuzzminimizetime 5x ./head
	cd hitchd && go test -run '^$$' -fuzz FuzzFraming -fuzztime $(FUZZTIME) -fuzzminimizetime 5x ./internal/pipe

bench:
	@set -e; for m in $(MODULES); do (cd $$m && go test -run '^$$' -bench . -benchmem ./...); done

demo: build
	$(BIN)/standin demo --bin $(BIN) --port $(PORT) --trace $(TRACE) --deployment $(DEPLOYMENT)

soak: build
	$(BIN)/standin soak --bin $(BIN) $(foreach s,$(SEEDS),--seed $(s))

clean:
	rm -rf $(BIN) demo-run soak-run
