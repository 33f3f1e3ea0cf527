package hosted

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against pauses that leave out the time before the first event or after the last one, or what is left of a
// silence when the connection is closed, or when a stream without length and chunks ends: the soak would then blame entries that wait for long enough, or excuse others.
func TestPausesOfStreams(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		silentAfter, leavesAfter time.Duration
		unmarkedEvery            int
		want                     Pause
	}{
		"before the first event":                  {0, 9 * time.Second, 0, Pause{2000 * ms, 2000 * ms}},
		"between events":                          {150 * ms, 9 * time.Second, 0, Pause{2050 * ms, 2050 * ms}},
		"before the first event, and closed then": {0, 1500 * ms, 0, Pause{1500 * ms, 2000 * ms}},
		"between events, and closed then":         {150 * ms, 1500 * ms, 0, Pause{1400 * ms, 2050 * ms}},
		"after the last event":                    {250 * ms, 9 * time.Second, 0, Pause{100 * ms, 2050 * ms}},
		"after the last event, without a mark":    {250 * ms, 9 * time.Second, 1, Pause{2050 * ms, 2050 * ms}},
		"after the end, without a mark":           {350 * ms, 9 * time.Second, 1, Pause{100 * ms, 100 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &Worker{ID: "w", Model: Model{Name: "m", Chunks: 1, ChunkBytes: 8, Layers: 1}, Events: 3, EventGap: 100 * ms, UnmarkedEvery: c.unmarkedEvery}
				w.Load(1)
				ctx, leave := context.WithTimeout(t.Context(), c.leavesAfter)
				defer leave()
				if c.silentAfter == 0 {
					w.Silence(2 * time.Second)
				}
				askWorker(ctx, w, "/chat/x")
				<-time.After(c.silentAfter)
				if c.silentAfter > 0 {
					w.Silence(2 * time.Second)
				}
				<-time.After(10 * time.Second)
				if got := w.Pauses()["r"]; got != c.want {
					t.Errorf("longest pause %+v, want %+v", got, c.want)
				}
			})
		})
	}
}

// Guards against a stand-in that is never overloaded, that counts what it refuses as run, or that goes on to refuse
// once it has room.
func TestWorkerWithoutRoomRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &Worker{ID: "w", Model: Model{Name: "m", Chunks: 1, ChunkBytes: 8, Layers: 1}, Events: 3, EventGap: time.Second, MaxRunning: 1}
		w.Load(1)
		for i, refused := range []bool{false, true, false} {
			if i == 2 {
				<-time.After(10 * time.Second)
			}
			out := askWorker(t.Context(), w, "/chat/x")
			synctest.Wait()
			if got := out.Header().Get("X-Laburnumgw-Not-Executed") != ""; got != refused {
				t.Errorf("request %d: refused %t, want %t", i, got, refused)
			}
		}
		<-time.After(10 * time.Second)
		if runs := w.Runs("r"); runs != 2 {
			t.Errorf("%d requests ran, want 2", runs)
		}
	})
}
