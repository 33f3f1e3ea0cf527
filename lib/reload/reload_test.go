package reload

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// limit bounds the waits; it is far above what is needed, so that load changes nothing.
const limit = 30 * time.Second

// Guards against processes that a SIGHUP ends (11 in one day of a hunt), and against a
// settings file that changes without one and is not read.
func TestSignalsAndChangesAreNoticed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	if err := os.WriteFile(path, []byte("a = 1"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reads := make(chan struct{}, 8)
	go Watch(ctx, path, Hangups(), func() { reads <- struct{}{} })
	await := func(what string) {
		t.Helper()
		select {
		case <-reads:
		case <-time.After(limit):
			t.Fatalf("%s was not noticed", what)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	await("the signal")
	if err := os.Chtimes(path, time.Time{}, time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	await("the change of the file")
}
