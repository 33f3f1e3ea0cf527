package linkfake

import (
	"fmt"
	"slices"
	"time"
)

// Result holds the measurements of a run.
type Result struct {
	// LastCompletion is the longest time, in V, from the creation of a live VM in the run
	// until it was complete.
	LastCompletion float64
	// MedianCompletion is the median of the same times.
	MedianCompletion float64
	// ByVersion holds LastCompletion per version, in the order in which they are named.
	ByVersion []float64
	// ByRegion and ByZone hold LastCompletion per region and zone.
	ByRegion map[string]float64
	ByZone   map[string]float64
	// Incomplete counts live VMs without the complete version.
	Incomplete int
	// OriginCopies is the number of copies transferred from the store.
	OriginCopies float64
	// ZoneOriginCopies is the same per zone.
	ZoneOriginCopies map[string]float64
	// LinkCopies is the number of copies over each region's link, both directions, and ReceivedCopies
	// the number of those that the region received.
	LinkCopies     map[string]float64
	ReceivedCopies map[string]float64
	// ControlMean is the highest mean control traffic of a VM in bytes per second,
	// sent and received.
	ControlMean float64
	// ControlPeak is the highest control traffic of a VM within one second, in bytes.
	ControlPeak float64
	// RefusedPerChunk is the number of refused requests for chunks per chunk received from a peer.
	RefusedPerChunk float64
	// CorruptChunks is the number of corrupt chunks received.
	CorruptChunks  int
	OriginRequests int
	OriginRefused  int
}

func (r *Run) result() Result {
	chunks := float64(r.Scenario.Chunks)
	for _, l := range append([]*link{r.origin}, r.regionLinks()...) {
		for _, f := range l.flows {
			r.settle(f)
		}
	}
	result := Result{
		ByVersion:        make([]float64, 1+len(r.Scenario.Later)),
		ByRegion:         make(map[string]float64),
		ByZone:           make(map[string]float64),
		ZoneOriginCopies: make(map[string]float64),
		LinkCopies:       make(map[string]float64),
		ReceivedCopies:   make(map[string]float64),
		OriginCopies:     r.origin.carriedChunks / chunks,
		OriginRequests:   r.OriginRequests,
		OriginRefused:    r.OriginRefused,
	}
	for zone, carried := range r.zoneOrigin {
		result.ZoneOriginCopies[zone] = carried / chunks
	}
	for name, l := range r.toRegion {
		result.ReceivedCopies[name] = l.carriedChunks / chunks
		result.LinkCopies[name] = (l.carriedChunks + r.fromRegion[name].carriedChunks) / chunks
	}
	var times []float64
	var transfers, refusedRequests int
	for _, v := range r.VMs {
		transfers += v.PeerTransfers
		refusedRequests += v.RefusedRequests
		result.CorruptChunks += v.CorruptChunks
		seconds := (min(v.CompletedAt, r.now) - v.startedAt).Seconds()
		if seconds > 0 {
			result.ControlMean = max(result.ControlMean, float64(v.controlBytes)/seconds)
		}
		result.ControlPeak = max(result.ControlPeak, float64(v.peakWindowBytes))
		if v.Dead || v.Excluded {
			continue
		}
		if v.CompletedAt == never {
			result.Incomplete++
			continue
		}
		t := float64(v.CompletedAt-v.startedAt) / float64(r.Scenario.CopyTime)
		times = append(times, t)
		result.ByVersion[v.version] = max(result.ByVersion[v.version], t)
		result.ByRegion[v.Region] = max(result.ByRegion[v.Region], t)
		result.ByZone[v.Zone] = max(result.ByZone[v.Zone], t)
	}
	slices.Sort(times)
	if len(times) > 0 {
		result.LastCompletion = times[len(times)-1]
		result.MedianCompletion = times[len(times)/2]
	}
	if transfers > 0 {
		result.RefusedPerChunk = float64(refusedRequests) / float64(transfers)
	}
	return result
}

func (r *Run) regionLinks() []*link {
	var links []*link
	for _, region := range r.Scenario.Regions {
		if l := r.toRegion[region.Name]; l != nil {
			links = append(links, l, r.fromRegion[region.Name])
		}
	}
	return links
}

// Now returns the virtual time of the run.
func (r *Run) Now() time.Duration { return r.now }

// String summarises the measurements.
func (r Result) String() string {
	return fmt.Sprintf("last %.3f V, median %.3f V, incomplete %d, origin %.3f copies, "+
		"links %.3v copies, control %.1f KB/s mean, %.1f KB in the peak second, %.2f refused per chunk, %d corrupt",
		r.LastCompletion, r.MedianCompletion, r.Incomplete, r.OriginCopies, r.LinkCopies,
		r.ControlMean/1000, r.ControlPeak/1000, r.RefusedPerChunk, r.CorruptChunks)
}
