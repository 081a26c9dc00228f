# lagoonlane: build, test, demo. Needs Go and make only.
PACKAGES := ./... ./bench/...
BIN := bin

.PHONY: soak build test check demo demo-up generate experiment-requests experiment-moves experiment-peers bench-speed fuzz capacity

build:
	go build -o $(BIN)/ ./cmd/... ./bench/cmd/...

# Everything that CI runs.
test: check
	scripts/test.sh $(PACKAGES)

check:
	scripts/check.sh $(PACKAGES)

generate:
	internal/rpc/generate.sh

# Starts two small deployments on loopback, moves traffic between versions, stops all.
demo: build
	$(BIN)/demo

# Leaves the deployments running and prints addresses and commands to try.
demo-up: build
	$(BIN)/demo -up

# Compares the system with named baselines in virtual time, at the sizes of today.
experiment-requests:
	go test -v -timeout 60m -count 1 -run 'TestRequests$$' ./bench/experiments -args -full

# Compares moves with a timer and one threshold, 100 seeds for each case, in virtual time.
experiment-moves:
	GOMAXPROCS=1 LAGOONLANE_EXPERIMENT_SEEDS=100 go test -v -timeout 60m -count 1 -run 'TestExperimentMoves$$' ./internal/move

# Measures the exchange between 50, 100, 200 and 400 processes in virtual time.
experiment-peers:
	LAGOONLANE_PEER_SCALE=1 go test -v -timeout 20m -count 1 -run 'TestExchangeStaysFlat$$' ./internal/peer

# Measures what entries and sidecars cost, for docs/CAPACITY.md.
capacity: build
	$(BIN)/capacity

# Overhead against a direct call, frames a second, memory of waiting requests.
bench-speed:
	go test -run XXX -bench . ./internal/entry
	go test -run XXX -bench 'TokenFrames|ReserveAnd' -benchtime 3000x ./internal/sidecar
	go test -run XXX -bench Waiting -benchtime 3x ./internal/sidecar

# Plays fresh seeds of the fault soak, SEEDS of them; logs of seeds that fail are kept.
SEEDS := 50
soak: build
	$(BIN)/soak -seeds $(SEEDS)

# Fuzzes the decoders and the fold, half a minute each.
fuzz:
	go test -run XXX -fuzz FuzzReader -fuzztime 30s ./internal/frame
	go test -run XXX -fuzz FuzzApply -fuzztime 30s ./internal/config
	go test -run XXX -fuzz FuzzDecodeRequest -fuzztime 30s ./platform
	go test -run XXX -fuzz FuzzDecodeAnswer -fuzztime 30s ./platform
	go test -run XXX -fuzz FuzzRequest -fuzztime 30s ./internal/slots
	go test -run XXX -fuzz FuzzParts -fuzztime 30s ./internal/eventstream
