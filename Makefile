# Commands for developers; see README.md.

BIN := bin
GO_FILES := $(shell git ls-files '*.go')

.PHONY: all build run test check fmt generate bench cost clean

all: build

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

run: build
	$(BIN)/medlar-demo --bin $(BIN)

test:
	scripts/test

check:
	scripts/check

bench:
	go test -run '^$$' -bench . -benchtime 200ms ./...

cost: build
	$(BIN)/medlar-load cost --bin $(BIN)

generate:
	scripts/generate

fmt:
	gofmt -w $(GO_FILES)

clean:
	rm -rf $(BIN)
