package fleetload

import "time"

// fading is a figure that changes faster than it is observed. An observation gives way to the mean of those before it, and
// that to what is usual. The zero value knows nothing.
type fading struct {
	last, mean float64
	at         time.Time
}

// fade is how fast a figure loses its worth.
type fade struct {
	// halfLife is the age at which the last observation has lost half of its worth against the mean.
	halfLife time.Duration
	// window is the time over which the mean is taken, and memory the age at which it has lost half of its worth against
	// the usual value.
	window, memory time.Duration
	usual          float64
}

var (
	// paceFade is that of machines shared with others, which change their speed many times a second.
	paceFade = fade{halfLife: 200 * time.Millisecond, window: 3 * time.Second, memory: 15 * time.Second, usual: 1}
	// queueFade is that of prompts, which are read within a few hundred milliseconds.
	queueFade = fade{halfLife: 200 * time.Millisecond, window: 2 * time.Second, memory: 2 * time.Second}
)

// Bounds of a pace that is believed.
const (
	MinPace = 0.05
	MaxPace = 100.0
)

func isPace(value float64) bool { return value >= MinPace && value <= MaxPace }

func (f *fading) observe(value float64, by fade, now time.Time) {
	if f.at.IsZero() {
		*f = fading{last: value, mean: value, at: now}
		return
	}
	age := max(now.Sub(f.at), 0)
	f.mean += float64(age) / float64(age+by.window) * (value - f.mean)
	f.last, f.at = value, now
}

// estimate returns the value that is believed now.
func (f *fading) estimate(by fade, now time.Time) float64 {
	if f.at.IsZero() {
		return by.usual
	}
	age := max(now.Sub(f.at), 0)
	mean := by.usual + (f.mean-by.usual)*worth(age, by.memory)
	return mean + (f.last-mean)*worth(age, by.halfLife)
}

// worth is the share of its weight that a figure keeps at an age.
func worth(age, halfLife time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+age)
}

// atLeast returns a value that no estimate falls below before the next observation.
func (f *fading) atLeast(by fade) float64 {
	if f.at.IsZero() {
		return by.usual
	}
	return min(by.usual, f.mean, f.last)
}
