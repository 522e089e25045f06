# Commands for developers; see README.md.

BIN := bin
PROGRAMS := medlar-entry medlar-relay medlar-agent medlarctl medlar-standin medlar-demo
GO_FILES := $(shell git ls-files '*.go')

.PHONY: all build run test check fmt generate bench clean

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

generate:
	scripts/generate

fmt:
	gofmt -w $(GO_FILES)

clean:
	rm -rf $(BIN)
