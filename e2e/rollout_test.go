package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/fleet"
)

// Guards against responses from mixed or partial weights and against cut-off streams
// while a version is replaced and rolled back under load, and against engines that load
// at the same time and together fetch more than 1.1 copies from the origin.
func TestRolloutUnderLoad(t *testing.T) {
	w := startSystem(t, 3, 6, 1, 5*time.Millisecond)
	Convey("A new version replaces the old one and is rolled back while streams run", t, func() {
		first := w.sha
		w.publish("v2", 11)
		second := w.sha
		So(second, ShouldNotEqual, first)
		served := w.originBytes()
		load := w.startLoad(first, second)
		w.apply("", "v2")
		w.awaitServing("v2")
		drawn := w.originBytes() - served
		w.sha = first
		w.apply("", "v1")
		w.awaitServing("v1")
		total, bad := load()
		t.Logf("%d streams, origin served %.2f copies of the new version", total, float64(drawn)/float64(len(content(11))))
		So(bad, ShouldBeEmpty)
		So(total, ShouldBeGreaterThan, 20)
		So(float64(drawn), ShouldBeLessThanOrEqualTo, 1.1*float64(len(content(11))))
	})
}

func (w *system) originBytes() int64 {
	w.t.Helper()
	var served struct {
		Bytes int64 `json:"bytes"`
	}
	if err := fleet.GetJSON(w.context(), w.Origin.HTTP+"/admin/served", &served); err != nil {
		w.t.Fatal(err)
	}
	return served.Bytes
}

// startLoad streams chats until the returned function is called, which returns their
// number and a description of each response that is incomplete or not from one version.
func (w *system) startLoad(versions ...string) func() (int64, []string) {
	var stop atomic.Bool
	var total atomic.Int64
	var mu sync.Mutex
	var bad []string
	var wait sync.WaitGroup
	for caller := range 4 {
		wait.Go(func() {
			for i := 0; !stop.Load(); i++ {
				response, err := fleet.Chat(w.context(), w.Entries[(caller+i)%len(w.Entries)], model, fmt.Sprintf("%d/%d", caller, i), 20)
				total.Add(1)
				known := false
				for _, version := range versions {
					known = known || response.Fingerprints[version]
				}
				if err != nil || !response.Done || len(response.Fingerprints) != 1 || !known {
					mu.Lock()
					bad = append(bad, fmt.Sprintf("caller %d chat %d at %s: status %d kind %q fingerprints %v error %v, response %.500s",
						caller, i, time.Now().Format(time.RFC3339Nano), response.Status, response.ErrorKind, response.Fingerprints, err, response.Body))
					mu.Unlock()
				}
			}
		})
	}
	return func() (int64, []string) {
		stop.Store(true)
		wait.Wait()
		return total.Load(), bad
	}
}
