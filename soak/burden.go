package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"laburnumgw/standin/hosted"
)

const (
	// burdenCallers is the number of callers of large bodies, of burdenBytes each, and of callers that do not read.
	burdenCallers = 6
	burdenBytes   = 1 << 20
	// burdenedBytes is what a plain worker holds meanwhile, and burdenedUnread how long its responses may stay unread.
	burdenedBytes  = 5 << 19
	burdenedUnread = time.Second
)

// burden has callers send large bodies, and others not read long responses, for some time, while plain workers hold little
// and crash when they get more. These callers get what is left, but no booking that is refused may have run.
func (r *run) burden(lasts time.Duration) {
	entry := pick(r.rng, r.fleet.Entries)
	r.recordFault(lasts+RestartTime, "large bodies and slow readers at %s for %s, and workers that hold two bodies", entry.Name, lasts)
	for _, w := range r.fleet.PlainWorkers {
		w.SetMemory(hosted.Memory{Bytes: burdenedBytes, UnreadTime: burdenedUnread, OnCrash: func() { r.fleet.crash(w) }})
	}
	ctx, stop := context.WithTimeout(context.Background(), lasts)
	time.AfterFunc(lasts, func() {
		stop()
		for _, w := range r.fleet.PlainWorkers {
			w.SetMemory(hosted.Memory{})
		}
	})
	m, burdens := &memoryRun{fleet: r.fleet, entry: entry}, len(r.faultWindows)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for caller := range burdenCallers {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("large-%s-%d-%d-%d", entry.Name, burdens, caller, n)
				if o := (Outcome{ID: id, Entry: entry.Name, Status: m.sendLarge(ctx, client, id)}); isRefusal(o) {
					r.recordRefusedLarge(o)
				}
			}
		}()
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				m.readSlowly(ctx, fmt.Sprintf("burden-%s-%d-%d", entry.Name, caller, n))
				time.Sleep(callerPause)
			}
		}()
	}
}

func (r *run) recordRefusedLarge(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedLarge = append(r.refusedLarge, o)
}

// checkRefusedLarge reports large bookings that were refused and ran.
func (r *run) checkRefusedLarge(runs func(id string) int, violation func(format string, args ...any)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.refusedLarge {
		if n := runs(o.ID); n > 0 {
			violation("%s at %s, with a large body, was answered %d and ran %d times", o.ID, o.Entry, o.Status, n)
		}
	}
}

// sendLarge sends a large body and returns the status of the response, zero for none.
func (m *memoryRun) sendLarge(ctx context.Context, client *http.Client, id string) int {
	defer time.Sleep(callerPause)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.entry.Frontend()+"/book/"+id, bytes.NewReader(make([]byte, burdenBytes)))
	if err != nil {
		return 0
	}
	request.Host = Host
	hosted.SetRequestHeaders(request.Header, id, APIKey, "2500", "900,48")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
