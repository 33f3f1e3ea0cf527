// Package reload triggers the reading of a settings file on SIGHUP and when the file changes.
package reload

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Interval is the time between two checks of the file, which may change without a signal.
const Interval = 2 * time.Second

// Hangups returns a channel that receives each SIGHUP from now on. Without such a channel the
// signal terminates the process.
func Hangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// Watch calls read after each signal and each change of a file until the context ends.
func Watch(ctx context.Context, path string, hangups <-chan os.Signal, read func()) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modificationTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(path)
		read()
	}
}

// modificationTime returns the time of a file's last change, or the zero time if the file
// cannot be accessed.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
