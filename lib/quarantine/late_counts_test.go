package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a sound part that stays blocked since an entry at which requests with it began was silent for a
// second when it was judged: the counts of that entry arrive after the block, and lift nothing.
func TestCountsThatArriveLateLiftABlock(t *testing.T) {
	now := time.Unix(1000, 0)
	judge, silent := New(1, rand.New(rand.NewPCG(1, 1))), New(2, rand.New(rand.NewPCG(2, 2)))
	for i := range 3 {
		start := Start{fmt.Sprint("w", i), 1}
		now = now.Add(time.Second)
		judge.Lost(start, []string{"p"}, "ws", now)
		judge.Crashed(start, fmt.Sprint("z", i), now)
		for _, m := range judge.Advance(now) {
			silent.Merge(m, now)
		}
		for range 20 {
			silent.Began([]string{"p"}, now)
		}
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		judge.Advance(now)
	}
	for range 40 {
		for _, m := range silent.Advance(now) {
			judge.Merge(m, now)
		}
		judge.Merge(silent.State(now), now)
		silent.Merge(judge.State(now), now)
		for _, m := range judge.Advance(now) {
			silent.Merge(m, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	for name, entry := range map[string]*Tracker{"the entry that judged": judge, "the entry that was silent": silent} {
		for _, b := range entry.Blocks() {
			if !b.Released {
				t.Errorf("%s still blocks %v, with which 60 requests have begun", name, b.Names)
			}
		}
	}
}
