package platform

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
)

const (
	// memoryHistory is the number of events kept for watches. A watch from an older version
	// fails with ErrTooOld.
	memoryHistory = 4096
)

// Fault decides what happens to one call on a Memory store.
type Fault int

// Faults that a Memory store can inject.
const (
	// NoFault runs the call.
	NoFault Fault = iota
	// FaultUnavailable fails the call without effect.
	FaultUnavailable
	// FaultLostResponse runs a write and reports its outcome as unknown.
	FaultLostResponse
	// FaultLostRequest does not run a write and reports its outcome as unknown.
	FaultLostRequest
)

// Memory is an in-memory Store. The stand-in platform and tests use it.
type Memory struct {
	mu      sync.Mutex
	objects map[string]Object
	events  []Event
	version int64
	changed chan struct{}
	calls   map[string]int64

	// Inject, if set, is called for each call with its verb and key and returns the fault
	// to inject.
	Inject func(verb, key string) Fault
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		objects: make(map[string]Object),
		changed: make(chan struct{}),
		calls:   make(map[string]int64),
	}
}

var errInjected = errors.New("injected fault")

// startCall counts a call and returns the fault to inject. The caller must not hold the lock.
func (m *Memory) startCall(verb, key string) (Fault, error) {
	m.mu.Lock()
	m.calls[verb]++
	inject := m.Inject
	m.mu.Unlock()
	if inject == nil {
		return NoFault, nil
	}
	fault := inject(verb, key)
	if fault == FaultUnavailable {
		return fault, &UnavailableError{Err: errInjected}
	}
	return fault, nil
}

// Calls returns the number of calls by verb.
func (m *Memory) Calls() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]int64, len(m.calls))
	for verb, n := range m.calls {
		counts[verb] = n
	}
	return counts
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Object, error) {
	if _, err := m.startCall("get", key); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	if !ok {
		return Object{}, ErrNotFound
	}
	return object, nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, prefix string) ([]Object, int64, error) {
	if _, err := m.startCall("list", prefix); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var matches []Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			matches = append(matches, object)
		}
	}
	slices.SortFunc(matches, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return matches, m.version, nil
}

// write runs a write under the lock and applies the injected fault.
func (m *Memory) write(verb, key string, run func() (Object, error)) (Object, error) {
	fault, err := m.startCall(verb, key)
	if err != nil {
		return Object{}, err
	}
	if fault == FaultLostRequest {
		return Object{}, &UnknownOutcomeError{Err: errInjected}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	object, err := run()
	if fault == FaultLostResponse {
		return Object{}, &UnknownOutcomeError{Err: errInjected}
	}
	return object, err
}

// Create implements Store.
func (m *Memory) Create(_ context.Context, key string, value []byte) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, errTooLarge(key, len(value))
	}
	return m.write("create", key, func() (Object, error) {
		if _, ok := m.objects[key]; ok {
			return Object{}, ErrExists
		}
		return m.put(key, value), nil
	})
}

// Update implements Store.
func (m *Memory) Update(_ context.Context, key string, value []byte, version int64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, errTooLarge(key, len(value))
	}
	return m.write("update", key, func() (Object, error) {
		current, ok := m.objects[key]
		if !ok {
			return Object{}, ErrNotFound
		}
		if current.Version != version {
			return Object{}, ErrConflict
		}
		return m.put(key, value), nil
	})
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, key string, version int64) error {
	_, err := m.write("delete", key, func() (Object, error) {
		current, ok := m.objects[key]
		if !ok {
			return Object{}, ErrNotFound
		}
		if current.Version != version {
			return Object{}, ErrConflict
		}
		m.version++
		delete(m.objects, key)
		m.record(Event{Object: Object{Key: key, Version: m.version}, Deleted: true})
		return Object{}, nil
	})
	return err
}

// Copy is the state of a Memory store at one moment.
type Copy struct {
	objects map[string]Object
	version int64
}

// Copy returns the current state for a later Restore.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{objects: maps.Clone(m.objects), version: m.version}
}

// Restore restores an older state. The version goes back too, and watches must start again
// because all kept events are discarded.
func (m *Memory) Restore(from Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects = maps.Clone(from.objects)
	m.version = from.version
	m.events = nil
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) put(key string, value []byte) Object {
	m.version++
	object := Object{Key: key, Value: slices.Clone(value), Version: m.version}
	m.objects[key] = object
	m.record(Event{Object: object})
	return object
}

func (m *Memory) record(event Event) {
	m.events = append(m.events, event)
	if len(m.events) > memoryHistory {
		m.events = slices.Clone(m.events[len(m.events)-memoryHistory:])
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Watch implements Store. It returns when there is a matching event or the context ends.
func (m *Memory) Watch(ctx context.Context, prefixes []string, after int64) ([]Event, int64, error) {
	if _, err := m.startCall("watch", strings.Join(prefixes, ",")); err != nil {
		return nil, after, err
	}
	for {
		events, version, changed, err := m.eventsAfter(prefixes, after)
		if err != nil || len(events) > 0 {
			return events, version, err
		}
		select {
		case <-ctx.Done():
			return nil, version, nil
		case <-changed:
			after = version
		}
	}
}

func (m *Memory) eventsAfter(prefixes []string, after int64) ([]Event, int64, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := m.version - int64(len(m.events))
	if after < oldest || after > m.version {
		return nil, after, m.changed, ErrTooOld
	}
	var matches []Event
	for _, event := range m.events {
		if event.Object.Version > after && hasAnyPrefix(event.Object.Key, prefixes) {
			matches = append(matches, event)
		}
	}
	return matches, m.version, m.changed, nil
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
