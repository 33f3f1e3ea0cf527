package transfer

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/weights"
)

// fakeOrigin sends chunks, refuses requests, or does not respond.
type fakeOrigin struct {
	chunks  [][]byte
	mode    atomic.Int32
	fetches atomic.Int32
}

const (
	responding = iota
	unresponsive
	refusing
)

func (o *fakeOrigin) Chunk(ctx context.Context, _ *weights.Manifest, index int, progress func()) ([]byte, error) {
	o.fetches.Add(1)
	switch o.mode.Load() {
	case unresponsive:
		<-ctx.Done()
		return nil, ctx.Err()
	case refusing:
		return nil, errors.New("connection refused")
	}
	// The time that one chunk takes on the origin's link.
	select {
	case <-time.After(50 * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	progress()
	return o.chunks[index], nil
}

// fetchFrom starts the distribution of a version to a single VM.
func fetchFrom(t *testing.T, origin *fakeOrigin) (*Distribution, *observer.ObservedLogs, *Metrics) {
	t.Helper()
	const chunks, chunkBytes, rate = 64, 1000, 20_000
	manifest := &weights.Manifest{Model: "m", Version: "7", ChunkSize: chunkBytes, Size: chunks * chunkBytes, Hash: weights.SHA256}
	for i := range chunks {
		data := make([]byte, chunkBytes)
		data[0] = byte(i)
		origin.chunks = append(origin.chunks, data)
		manifest.Chunks = append(manifest.Chunks, weights.SHA256.Sum(data))
	}
	replica, err := weights.NewStore(1 << 20).Reserve(manifest)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	shared := &Transfer{
		Self: swarm.Member{VM: "self", Zone: "z", Region: "r"}, HomeRegion: "r", Origin: origin, Links: NewLinks(rate),
		Metrics: NewMetrics(metrics.NewSet()), Log: zap.New(core),
	}
	d, err := New(shared, replica, rate, swarm.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	go d.Run()
	d.SetMembers([]*laburnumgwv1.Assignment{{Vm: "self", Zone: "z", Region: "r"}})
	return d, logs, shared.Metrics
}

// Guards against an outage of the origin that is not logged (incident inc-1ac0), and
// against one log line for each failed fetch.
func TestOutageOfTheOriginIsLogged(t *testing.T) {
	for _, c := range []struct {
		name   string
		mode   int32
		reason string
	}{{"silent", unresponsive, ""}, {"refusing", refusing, "connection refused"}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origin := &fakeOrigin{}
				d, logs, counters := fetchFrom(t, origin)
				defer d.Stop()
				<-time.After(time.Second)
				origin.mode.Store(c.mode)
				<-time.After(7 * time.Second)
				origin.mode.Store(responding)
				<-d.Completed()
				failureLines := logs.FilterMessage("origin does not answer").All()
				recoveryLines := logs.FilterMessage("origin answers again").All()
				if len(failureLines) != 1 || len(recoveryLines) != 1 {
					t.Fatalf("%d lines of the beginning, %d of the end of one outage", len(failureLines), len(recoveryLines))
				}
				fields := failureLines[0].ContextMap()
				if fields["version"] != "7" || fields["model"] != "m" || fields["silent"] != (c.mode == unresponsive) {
					t.Errorf("beginning is logged with %v", fields)
				}
				if reason, _ := fields["error"].(string); reason != c.reason {
					t.Errorf("reason %q, not %q", reason, c.reason)
				}
				end := recoveryLines[0].ContextMap()
				if after, _ := end["after"].(time.Duration); after < 5*time.Second || after > 10*time.Second {
					t.Errorf("end is logged with %v", end)
				}
				done := logs.FilterMessage("distribution complete").All()
				if len(done) != 1 || done[0].ContextMap()["fetched"] != int64(64) || done[0].ContextMap()["from_origin"] != int64(64) ||
					done[0].ContextMap()["first"] != 50*time.Millisecond || done[0].ContextMap()["took"].(time.Duration) < 7*time.Second {
					t.Errorf("completion is logged with %v", done)
				}
				if failures, _ := end["failed"].(int64); counters.OriginFailures.Get() != uint64(failures) || failures < 2 {
					t.Errorf("%d failures counted, %v logged", counters.OriginFailures.Get(), end["failed"])
				}
			})
		})
	}
}
