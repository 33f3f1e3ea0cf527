package controlsim

import (
	"slices"
	"time"
)

// Traffic summarises bytes per second of one role.
type Traffic struct {
	// Mean and Max are the sum of sent and received bytes per second of the average and of
	// the busiest process.
	Mean, Max float64
	// MaxSent and MaxReceived are the largest values of one direction.
	MaxSent, MaxReceived float64
	// PeakSecondBytes is the largest sum within one second.
	PeakSecondBytes int64
	// ByKind is the mean of the sum by kind of call.
	ByKind map[string]float64
	// ByNode is the sum of each process, in the order of Sim.Nodes.
	ByNode []float64
}

// MeasureTraffic runs for a period and returns the traffic of entries and endpoints.
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
		for kind, bytes := range node.kinds {
			if node.Entry == entry {
				t.ByKind[kind] += float64(bytes) / period.Seconds() / float64(count)
			}
		}
	}
	return t
}

// MeasurePropagation accepts a change of some files and returns, for each running process, the
// time until it acts on the new generation. Processes that do not within the limit are
// counted as missing.
func (s *Sim) MeasurePropagation(changed int, limit time.Duration) (times []time.Duration, missing int) {
	start := s.now
	reached := make(map[*Node]time.Duration)
	previous := s.OnActivate
	generation := s.Platform.Apply(changed)
	s.OnActivate = func(at *Node, acted uint64) {
		if previous != nil {
			previous(at, acted)
		}
		if _, ok := reached[at]; !ok && acted >= generation {
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

// Percentile returns a percentile of sorted times.
func Percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(p*float64(len(times))))]
}

// ReadyCount returns the number of processes that have joined and may serve.
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
