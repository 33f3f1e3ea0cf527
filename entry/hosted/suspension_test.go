package hosted

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// servedVersion asks for a stream and returns the version of the weights that served it, or zero
// when it was refused.
func (d *deployment) servedVersion() int {
	got := d.ask(d.t.Context(), http.MethodPost, "/chat/x", "", deadlineHeader, "2000")
	if got.status != http.StatusOK {
		return 0
	}
	version, err := strconv.Atoi(got.header.Get(versionHeader))
	if err != nil {
		d.t.Fatal(err)
	}
	return version
}

func streamScript(version int) workerScript {
	return func(w *workerExchange) {
		w.stream(version)
		w.events(1, 2)
		w.end()
	}
}

// Guards against requests on older weights after a suspension or a change of the bound, when no
// report of the worker makes the entry update its routing: the retirement was scheduled by the
// clock that had stopped, and by the bound that was in force before.
func TestOlderWeightsAreRetiredAtTheirBoundAlsoWhenItMoves(t *testing.T) {
	const after = 2 * time.Second
	for name, move := range map[string]func(d *deployment){
		"suspended": func(d *deployment) { d.front.view.handleSuspension(3 * time.Second) },
		"reconfigured": func(d *deployment) {
			next := *d.front.view.settings
			next.Bounds.VersionApply -= 3 * time.Second
			d.front.view.reconfigure(&next)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				bound := d.front.view.settings.Bounds.VersionApply
				d.worker("llm", "w1", 1, streamScript(1))
				d.version(2)
				<-time.After(after)
				move(d)
				left := bound - 3*time.Second - after - versionMargin
				<-time.After(left - 10*time.Millisecond)
				if version := d.servedVersion(); version != 1 {
					t.Errorf("version %d just before its end", version)
				}
				<-time.After(20 * time.Millisecond)
				if version := d.servedVersion(); version != 0 {
					t.Errorf("version %d after its end", version)
				}
			})
		})
	}
}
