package controlsim

import (
	"slices"
	"time"
)

// Traffic summarises the traffic of the processes of one role.
type Traffic struct {
	// Mean and Max are the sums of sent and received bytes per second of the average and of
	// the busiest process.
	Mean, Max float64
	// MaxSent and MaxReceived are the largest bytes per second of a process in one
	// direction.
	MaxSent, MaxReceived float64
	// PeakSecondBytes is the largest number of bytes that a process sent and received within
	// one second.
	PeakSecondBytes int64
	// ByKind is Mean by kind of call.
	ByKind map[string]float64
	// ByNode is the sum of sent and received bytes per second of each process of the role,
	// in the order of Sim.Nodes.
	ByNode []float64
}

// MeasureTraffic runs the simulation for a period and returns the traffic of entries and
// endpoint processes in it.
func (s *Sim) MeasureTraffic(period time.Duration) (entries, endpoints Traffic) {
	for _, node := range s.Nodes {
		node.ResetTraffic()
	}
	s.Run(period)
	return s.traffic(true, period), s.traffic(false, period)
}

func (s *Sim) traffic(entry bool, period time.Duration) Traffic {
	t := Traffic{ByKind: make(map[string]float64)}
	count := 0
	for _, node := range s.Nodes {
		if node.Entry != entry {
			continue
		}
		count++
		sent := float64(node.SentBytes) / period.Seconds()
		received := float64(node.ReceivedBytes) / period.Seconds()
		t.Mean += sent + received
		t.ByNode = append(t.ByNode, sent+received)
		t.Max = max(t.Max, sent+received)
		t.MaxSent = max(t.MaxSent, sent)
		t.MaxReceived = max(t.MaxReceived, received)
		t.PeakSecondBytes = max(t.PeakSecondBytes, node.PeakBytes)
	}
	t.Mean /= max(1, float64(count))
	for _, node := range s.Nodes {
		for kind, bytes := range node.bytesByKind {
			if node.Entry == entry {
				t.ByKind[kind] += float64(bytes) / period.Seconds() / float64(count)
			}
		}
	}
	return t
}

// MeasurePropagation changes some files on the platform and returns the sorted times after
// which the running processes activated the new generation. Running processes that did not
// activate it within the limit are counted as missing.
func (s *Sim) MeasurePropagation(changed int, limit time.Duration) (times []time.Duration, missing int) {
	start := s.now
	reached := make(map[*Node]time.Duration)
	previous := s.OnActivate
	generation := s.Platform.Apply(changed)
	s.OnActivate = func(at *Node, activated uint64) {
		if previous != nil {
			previous(at, activated)
		}
		if _, ok := reached[at]; !ok && activated >= generation {
			reached[at] = s.now - start
		}
	}
	s.Run(limit)
	s.OnActivate = previous
	for _, node := range s.Nodes {
		if took, ok := reached[node]; ok {
			times = append(times, took)
		} else if node.Up {
			missing++
		}
	}
	slices.Sort(times)
	return times, missing
}

// Percentile returns a percentile of sorted times; p is a fraction from 0 to 1.
func Percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(p*float64(len(times))))]
}

// ReadyCount returns the number of running processes that have joined membership and may
// serve.
func (s *Sim) ReadyCount() int {
	ready := 0
	for _, node := range s.Nodes {
		if node.Up && node.joined() && (node.Sync == nil || node.Sync.Ready()) {
			ready++
		}
	}
	return ready
}

func (n *Node) joined() bool {
	if n.Entry {
		return n.Member.Joined()
	}
	return n.Endpoint.Joined()
}
