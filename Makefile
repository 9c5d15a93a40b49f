BIN := bin
SEEDS := 1000-1009

.PHONY: build demo test lint bench experiment soak mixed model fuzz clean

build:
	go build -o $(BIN)/ cicadabeam/cmd/cicadabeam cicadabeam/test/cmd/standin cicadabeam/tools/demo cicadabeam/tools/bench

demo: build
	$(BIN)/demo --bin $(BIN)

test:
	go build -o $(BIN)/ cicadabeam/tools/runtests
	( go test -json -count=1 -timeout=30m -parallel=6 work; go -C core test -race -json -count=1 -timeout=30m ./... ) | $(BIN)/runtests --known KNOWN-RED.txt

lint:
	@test -z "$$(gofmt -l core io platform cmd test tools)" || { gofmt -l core io platform cmd test tools; echo "gofmt: the files above are not formatted"; exit 1; }
	go vet work
	go tool staticcheck ./core/... ./io/... ./platform/... ./cmd/... ./test/... ./tools/...

bench: build
	$(BIN)/bench relay
	$(BIN)/bench resume
	$(BIN)/bench control
	$(BIN)/bench overload
	$(BIN)/bench choose

experiment:
	go run cicadabeam/tools/experiment --load kiosks --a all --b choose
	go run cicadabeam/tools/experiment --load forge --a all --b none

soak:
	cd test && SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=20 go test -count=1 -parallel 4 -timeout 60m ./soak -v

mixed:
	test/mixed $(COMMIT)

model:
	cd core && MODEL=1 go test -count=1 ./claim -rapid.checks=200000

fuzz:
	cd core && go test ./config -run none -fuzz FuzzParse -fuzztime 30s
	cd core && go test ./completion -run none -fuzz FuzzParse -fuzztime 30s
	cd io && go test ./engine -run none -fuzz FuzzStream -fuzztime 30s
	cd io && go test ./sse -run none -fuzz FuzzReader -fuzztime 30s
	cd platform && go test . -run none -fuzz FuzzDecodeServer -fuzztime 30s
	cd platform && go test . -run none -fuzz FuzzLoadHeader -fuzztime 30s
	cd cmd && go test ./settings -run none -fuzz FuzzParse -fuzztime 30s

clean:
	rm -rf $(BIN)
