package mirror

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"
)

// State is what a neighbour knows of a kind.
type State struct {
	Kind     string
	Revision int64
	Objects  []Object
}

// Neighbours asks one of the neighbours for kinds that it knows in a newer revision.
// It fails when none is known or none answers.
type Neighbours interface {
	Pull(ctx context.Context, known map[string]int64, wait time.Duration) (Pulled, error)
}

// Pulled is the answer of a neighbour.
type Pulled struct {
	States []State
	// Age is that of the neighbour's last answer of the store.
	Age time.Duration
	// Direct is set when the neighbour reads the store itself. One that mirrors another
	// is not relied on, or two that have lost the store would confirm each other.
	Direct bool
}

// Source names who is asked first.
type Source uint8

// Sources.
const (
	StoreFirst Source = iota
	// NeighboursFirst asks the store only until neighbours answer. It keeps the calls
	// of the store independent of the number of workers.
	NeighboursFirst
)

// Newer returns the kinds that are known in a newer revision, waiting for one.
func (d *Driver) Newer(ctx context.Context, known map[string]int64, wait time.Duration) []State {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		states, moved := d.newer(known)
		if len(states) > 0 {
			return states
		}
		select {
		case <-moved:
			if !d.Direct() {
				return nil
			}
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Driver) newer(known map[string]int64) ([]State, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []State
	for name, kind := range d.kinds {
		revision, asked := known[name]
		if asked && kind.Known() && kind.Revision() > revision {
			states = append(states, State{Kind: name, Revision: kind.Revision(), Objects: kind.Objects()})
		}
	}
	return states, d.moved
}

func (d *Driver) first() Source {
	if d.config.First == nil {
		return StoreFirst
	}
	return d.config.First()
}

// Age returns the time since the last answer of the store, also through neighbours.
func (d *Driver) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.confirmedAt)
}

// Direct reports whether the store answers this process.
func (d *Driver) Direct() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.direct
}

// confirmed notes an answer of the store of an age, zero for one to this process.
func (d *Driver) confirmed(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if age == 0 {
		d.direct = true
	}
	if at := time.Now().Add(-age); at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
}

// pull mirrors from neighbours when the store is out of reach, or always when they are
// to be asked first.
func (d *Driver) pull(ctx context.Context) {
	if d.config.Neighbours == nil {
		return
	}
	for ctx.Err() == nil {
		if !d.seeded() {
			sleep(ctx, seedStep)
			continue
		}
		if !d.wantsNeighbours() {
			sleep(ctx, idleWait)
			continue
		}
		pulled, err := d.config.Neighbours.Pull(ctx, d.revisions(), d.config.PullWait)
		reads := pulled.Direct || d.config.Indirect
		if err == nil && (!reads || pulled.Age > d.config.StaleAfter) {
			err = fmt.Errorf("neighbour does not read the store or has not heard of it for %s", pulled.Age)
		}
		d.answering(err)
		if err != nil {
			sleep(ctx, pullRetry)
			continue
		}
		for _, state := range pulled.States {
			if kind := d.kinds[state.Kind]; kind != nil {
				d.apply(state.Kind, kind, func(now time.Time) []Change { return kind.Listed(state.Objects, state.Revision, now) })
			}
		}
		d.confirmed(max(pulled.Age, time.Millisecond))
	}
}

// seeded reports whether the kind that names the neighbours was read.
func (d *Driver) seeded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Seed == "" || d.kinds[d.config.Seed].Known()
}

// answering notes whether the neighbours answer.
func (d *Driver) answering(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pulling != (err == nil) {
		close(d.turned)
		d.turned = make(chan struct{})
		d.config.Log.Info("neighbours mirror the store", zap.Bool("answering", err == nil), zap.Error(err))
	}
	d.pulling = err == nil
}

func (d *Driver) wantsNeighbours() bool {
	if d.first() == NeighboursFirst {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, kind := range d.kinds {
		if kind.Failing(now) >= turnAfter {
			return true
		}
	}
	d.pulling = false
	return false
}

func (d *Driver) revisions() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := make(map[string]int64, len(d.kinds))
	for name, kind := range d.kinds {
		known[name] = kind.Revision()
		if !kind.Known() {
			known[name] = -1
		}
	}
	return known
}
