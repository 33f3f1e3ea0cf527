.PHONY: demo test build lint generate bench

# Builds the daemon, the command-line tool and the stand-ins into bin/.
build:
	go build -o bin/ ./cmd/...

# Runs the main job: distributes a model, serves a chat and a booking, and stops.
demo: build
	bin/laburnumdemo

# Runs all tests.
test: build
	go test -count=1 -timeout 30m ./...

lint:
	golangci-lint run ./...

generate:
	go generate ./...

bench:
	go test -run '^$$' -bench . -benchtime 1s ./...
