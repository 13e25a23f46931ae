.PHONY: build test lint try

build: ## all programs, in bin/
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...

try: build ## a node among stand-ins: one query and a short load
	bin/mintspring-bench try
