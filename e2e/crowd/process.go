package crowd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// subject is a process that a crowd visits, and its bounds.
type subject struct {
	name string
	pid  int
	// memoryMB bounds its resident memory, and sockets its open sockets.
	memoryMB float64
	sockets  int
	doors    []door
}

// usage is what a process has used, at most.
type usage struct {
	memoryMB float64
	sockets  int
}

var errEnded = errors.New("the process has ended")

// memory returns the highest resident memory of the process.
func (s *subject) memory() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.pid))
	if err != nil {
		return 0, fmt.Errorf("%s: %w", s.name, errEnded)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s: %w", s.name, errEnded)
	}
	kb, err := strconv.ParseFloat(fields[0], 64)
	return kb / 1024, err
}

// forgetMemory has memory return the highest resident memory from now on.
func (s *subject) forgetMemory() error {
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", s.pid), []byte("5"), 0o200); err != nil {
		return fmt.Errorf("%s: %w", s.name, errors.Join(errEnded, err))
	}
	return nil
}

// openSockets returns the number of sockets that the process has open.
func (s *subject) openSockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", s.pid)
	entries, _ := os.ReadDir(dir) // a process that has ended has none
	count := 0
	for _, entry := range entries {
		if target, err := os.Readlink(dir + "/" + entry.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// processorTicks returns the processor time that the process has used.
func (s *subject) processorTicks() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.pid)) // a process that has ended uses none
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return user + system
}

const (
	watchInterval = 50 * time.Millisecond
	// calmTicks is the processor time in calmIntervals up to which a process counts as done with what it received, and
	// calmLimit bounds the wait for that.
	calmTicks     = 6
	calmIntervals = 6
	calmLimit     = 3 * time.Second
)

// watch records what the process uses until the context ends.
func (s *subject) watch(ctx context.Context) <-chan usage {
	result := make(chan usage, 1)
	go func() {
		var most usage
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			most.sockets = max(most.sockets, s.openSockets())
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
		most.memoryMB, _ = s.memory() // checked apart
		result <- most
	}()
	return result
}

// awaitCalm waits until the process has worked off what it received.
func (s *subject) awaitCalm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, calmLimit)
	defer cancel()
	ticker := time.NewTicker(watchInterval * calmIntervals)
	defer ticker.Stop()
	for before := -calmTicks - 1; ctx.Err() == nil; {
		now := s.processorTicks()
		if now-before <= calmTicks {
			return
		}
		before = now
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
