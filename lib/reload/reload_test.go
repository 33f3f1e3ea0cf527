package reload

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// waitLimit bounds each wait. It is far above the time needed, so that a loaded machine does
// not make the test fail.
const waitLimit = 30 * time.Second

// Guards against a process that a SIGHUP terminates (11 cases in one day of a fault search),
// and against a settings file that is not read again when it changes without a signal.
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
		case <-time.After(waitLimit):
			t.Fatalf("%s did not trigger a read within %s", what, waitLimit)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	await("SIGHUP")
	if err := os.Chtimes(path, time.Time{}, time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	await("the change of the settings file")
}
