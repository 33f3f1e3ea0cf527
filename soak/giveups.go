package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

const (
	// giveUpMessage is what an entry logs when it gives up a request that has not begun, at the bound of the weights of its worker.
	giveUpMessage = "request given up at the bound of its weights"
	// maxGiveUpMargin is the longest time before a bound at which that may be: entries do so 0.3 s before it, and may date
	// a version as early as their last look at the store without it.
	maxGiveUpMargin = 1500 * time.Millisecond
)

// giveUp is a line of an entry's log on a request that was given up at the bound of its weights.
type giveUp struct {
	At      time.Time `json:"ts"`
	Message string    `json:"msg"`
	Entry   string    `json:"node"`
	Request string    `json:"request"`
	Worker  string    `json:"vm"`
	Weights int       `json:"weights,string"`
}

// arrival is when a request arrived at a model worker that ran it, or the zero time if the worker dropped it before it began.
type arrival struct {
	worker string
	at     time.Time
}

// readGiveUps returns the requests that an entry has given up at the bound of their weights, by its log.
func readGiveUps(log io.Reader) ([]giveUp, error) {
	var found []giveUp
	lines := bufio.NewReader(log)
	for {
		line, err := lines.ReadBytes('\n')
		if bytes.Contains(line, []byte(giveUpMessage)) {
			var g giveUp
			if json.Unmarshal(line, &g) == nil && g.Message == giveUpMessage {
				found = append(found, g)
			}
		}
		if err == io.EOF {
			return found, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// collectGiveUps reads the logs of all entries, and when the requests in them arrived at workers.
func (r *run) collectGiveUps() error {
	r.giveUps = make(map[string][]giveUp)
	for _, p := range r.fleet.Entries {
		log, err := os.Open(p.log.Name())
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		found, err := readGiveUps(log)
		_ = log.Close()
		if err != nil {
			return fmt.Errorf("read log of %s: %w", p.Name, err)
		}
		for _, g := range found {
			r.giveUps[g.Request] = append(r.giveUps[g.Request], g)
		}
	}
	r.arrivals = make(map[string][]arrival)
	for _, m := range r.fleet.ModelWorkers {
		begun := make(map[string]int)
		for _, s := range m.Starts() {
			if r.giveUps[s.ID] != nil {
				begun[s.ID]++
				r.arrivals[s.ID] = append(r.arrivals[s.ID], arrival{m.ID, s.Arrived})
			}
		}
		for id := range r.giveUps {
			for range m.Runs(id) - begun[id] {
				r.arrivals[id] = append(r.arrivals[id], arrival{worker: m.ID})
			}
		}
	}
	return nil
}

// givenUpAtBound reports whether the first of two runs of a stream was given up by its entry before its first event, since
// nothing may begin on its weights any more. Waiting on would break that promise, and streams that may be resumed may run twice.
func (r *run) givenUpAtBound(o Outcome) bool {
	if o.Kind != kindChat || len(r.giveUps[o.ID]) != 1 {
		return false
	}
	g := r.giveUps[o.ID][0]
	given, next := 0, 0
	for _, a := range r.arrivals[o.ID] {
		switch {
		case a.at.After(g.At):
			next++
		case a.worker == g.Worker:
			given++
		}
	}
	if g.Entry != o.Entry || g.At.Before(o.Sent) || g.At.After(o.Ended) || given != 1 || next != 1 {
		return false
	}
	for _, named := range r.namings {
		before := named.at.Add(versionBound).Sub(g.At)
		if named.version > g.Weights && before >= 0 && before <= maxGiveUpMargin {
			return true
		}
	}
	return false
}
