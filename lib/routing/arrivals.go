package routing

import "time"

const (
	// arrivalSlot is the time resolution at which arrivals are counted.
	arrivalSlot = 100 * time.Millisecond
	// arrivalSlots is the number of slots that cover one second and the partial slot at its
	// start.
	arrivalSlots = int64(time.Second/arrivalSlot) + 1
)

// arrivalWindow counts the requests sent to one endpoint in the last second.
type arrivalWindow struct {
	counts     [arrivalSlots]int32
	latestSlot int64
}

func (w *arrivalWindow) add(now time.Duration) {
	w.advance(now)
	w.counts[w.latestSlot%arrivalSlots]++
}

func (w *arrivalWindow) count(now time.Duration) int {
	w.advance(now)
	sum := int32(0)
	for _, n := range w.counts {
		sum += n
	}
	return int(sum)
}

// advance clears the slots that are no longer in the window. A time before the latest slot
// counts in that slot.
func (w *arrivalWindow) advance(now time.Duration) {
	slot := int64(now / arrivalSlot)
	if slot-w.latestSlot >= arrivalSlots {
		w.counts = [arrivalSlots]int32{}
		w.latestSlot = slot
	}
	for w.latestSlot < slot {
		w.latestSlot++
		w.counts[w.latestSlot%arrivalSlots] = 0
	}
}
