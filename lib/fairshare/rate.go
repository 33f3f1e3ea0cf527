package fairshare

import "time"

const (
	// bucketLength and bucketCount make up the time over which rates are taken.
	bucketLength = 100 * time.Millisecond
	bucketCount  = 10
	// meanWindow is the mean length of a window, whose newest bucket is not complete.
	meanWindow = (bucketCount - 0.5) * float64(bucketLength) / float64(time.Second)
	// usualMemory is the time over which what is usual is taken, and minUsual the time without shortage from which on
	// it is known.
	usualMemory = 60 * time.Second
	minUsual    = 5 * time.Second
	// maxUsualRise bounds what counts of a sudden rise, as a multiple of what is usual.
	maxUsualRise = 2.0
)

// window sums up what has happened within the last second.
type window struct {
	buckets [bucketCount]float64
	newest  int64
}

func (w *window) advance(at time.Duration) {
	bucket := int64(at / bucketLength)
	if bucket-w.newest >= bucketCount {
		w.buckets, w.newest = [bucketCount]float64{}, bucket
	}
	for w.newest < bucket {
		w.newest++
		w.buckets[w.newest%bucketCount] = 0
	}
}

func (w *window) add(at time.Duration, amount float64) {
	w.advance(at)
	w.buckets[w.newest%bucketCount] += amount
}

// rate returns the amount per second.
func (w *window) rate(at time.Duration) float64 {
	w.advance(at)
	sum := 0.0
	for _, amount := range w.buckets {
		sum += amount
	}
	return sum / meanWindow
}

// usual is the mean of a rate while there was room for all.
type usual struct {
	mean float64
	seen time.Duration
}

func (u *usual) observe(rate float64, length time.Duration) {
	if length <= 0 {
		return
	}
	if u.seen >= minUsual {
		rate = min(rate, maxUsualRise*u.mean)
	}
	u.seen = min(u.seen+length, usualMemory)
	u.mean += (rate - u.mean) * float64(length) / float64(u.seen)
}

func (u *usual) rate() float64 {
	if u.seen < minUsual {
		return 0
	}
	return u.mean
}
