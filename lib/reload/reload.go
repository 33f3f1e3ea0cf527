// Package reload notices that a settings file is to be read again.
package reload

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Interval separates two looks at the file, which may change without a signal.
const Interval = 2 * time.Second

// Hangups returns a channel that receives each SIGHUP from now on. Without one, the signal
// ends the process.
func Hangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// Watch calls read after each signal and each change of a file until the context ends.
func Watch(ctx context.Context, path string, hangups <-chan os.Signal, read func()) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	known := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modified(path).Equal(known) {
				continue
			}
		}
		known = modified(path)
		read()
	}
}

// modified returns the time of a file's last change, or the zero time.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
