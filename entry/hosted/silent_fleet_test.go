package hosted

import (
	"fmt"
	"testing"
	"time"
)

// drawSilences lets most workers fall silent for 0.5 to 3 s within some time.
func (f *silentFleet) drawSilences(within time.Duration) {
	now := time.Now()
	for _, w := range f.workers {
		if f.rng.IntN(4) > 0 {
			w.silent = now.Add(f.drawn(100*time.Millisecond, within))
			w.goesOn = w.silent.Add(f.drawn(500*time.Millisecond, 3*time.Second))
		}
	}
}

// askAll sends a number of requests on each of some routes through all entries, within some time.
func (f *silentFleet) askAll(total int, within time.Duration, routes ...string) {
	for i := range total {
		for _, route := range routes {
			f.ask(f.entries[i%len(f.entries)], route, f.drawn(0, within))
		}
	}
}

// Guards against an answer that is lost, cut or mixed from two runs, and against attempts that are counted for
// ever, when sound workers fall silent beside a change of the configuration, also where most workers refuse the
// attempts beside silent ones.
func TestSilencesBesideAChangeLoseNoAnswer(t *testing.T) {
	const seed = 1
	for _, entries := range []int{3, 8, 40, 149} {
		for _, full := range []bool{false, true} {
			mayRepeat := entries < 100 // beyond, the share of the retry budget is less than one repeat
			if full && !mayRepeat {
				continue
			}
			played, repeated, refused := 0, 0, 0
			for name, change := range silentChanges() {
				t.Run(fmt.Sprintf("%d entries, workers full %v, %s, seed %d", entries, full, name, seed), func(t *testing.T) {
					withSilentFleet(t, seed, entries, 8+entries/10, func(t *testing.T, f *silentFleet) {
						f.drawSilences(1500 * time.Millisecond)
						if full {
							for i, w := range f.workers {
								if i%10 < 8 {
									w.fullFrom = time.Now().Add(time.Second)
								}
							}
						}
						f.askAll(max(60, entries), 300*time.Millisecond, "chat", "view", "book")
						// All requests are accepted before.
						at := f.drawn(400*time.Millisecond, 3*time.Second)
						for _, d := range f.entries {
							time.AfterFunc(at+f.drawn(0, 200*time.Millisecond), func() { change(&callerServer{deployment: d}) })
						}
						counts := f.checkAnswers(t)
						t.Logf("%+v", counts)
						if counts.refused > 0 {
							t.Errorf("%d requests refused", counts.refused)
						}
						played, repeated, refused = played+1, repeated+counts.repeated, refused+counts.refusedRepeats
					})
				})
			}
			if mayRepeat && played == len(silentChanges()) && (repeated == 0 || (full && refused == 0)) {
				t.Errorf("%d entries: %d attempts beside silent ones, %d refused", entries, repeated, refused)
			}
		}
	}
}

// Guards against a sum of repeats over all entries above the retry budget when half of all workers fall silent at the
// same moment, and against a budget that is not used then.
func TestSumOfEntriesKeepsTheRetryBudgetBesideSilences(t *testing.T) {
	const (
		seed    = 1
		ratio   = 0.01
		length  = 4 * time.Second
		silence = 2400 * time.Millisecond // plain responses and begun streams outlast it
	)
	for _, entries := range []int{3, 8, 40, 149} {
		perSecond := 10 * entries
		if entries > 100 {
			perSecond = 3 * entries
		}
		t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
			withSilentFleet(t, seed, entries, perSecond/5, func(t *testing.T, f *silentFleet) {
				// Little more than one repeat for each entry, of the four fifths that entries share out.
				slack := 1.3 * float64(max(entries, 4))
				for _, d := range f.entries {
					bounds := &d.front.view.settings.Bounds
					bounds.RetryRatio, bounds.RetrySlack = ratio, slack
					d.front.view.reconfigure(d.front.view.settings)
				}
				for i, w := range f.workers {
					if i%8 < 4 { // of both zones
						w.silent = time.Now().Add(length / 2)
						w.goesOn = w.silent.Add(silence)
					}
				}
				f.askAll(perSecond*int(length.Seconds()), length, "chat", "view")
				t.Logf("%+v", f.checkAnswers(t))
				for _, route := range []string{"chat", "view"} {
					repeats, allowed := f.repeatsIn(route, ratio, slack)
					t.Logf("%s: %d repeats of %.1f allowed", route, repeats, allowed)
					if float64(repeats) > allowed || repeats == 0 {
						t.Errorf("%s: %d repeats, %.1f allowed", route, repeats, allowed)
					}
				}
			})
		})
	}
}
