// Package e2e runs the built programs on loopback and checks what callers see.
package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"laburnumgw/fleet"
	"laburnumgw/lib/config"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/platform"
	"laburnumgw/lib/weights"
)

const (
	model   = "rota"
	service = "bookings"
	// waitLimit bounds every wait. It is far above what the system needs, so that a busy
	// machine does not make a test fail.
	waitLimit = 90 * time.Second
)

// system is a running fleet with a model and a configuration.
type system struct {
	*fleet.Fleet
	t     *testing.T
	store *platform.Client
	sha   string
	base  uint64
}

func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	command := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "../cmd/...")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build programs: %v\n%s", err, out)
	}
	return bin
}

func startSystem(t *testing.T, entries, models, services int, tokenDelay time.Duration) *system {
	t.Helper()
	f, err := fleet.Start(fleet.Options{
		Bin: buildPrograms(t), Dir: t.TempDir(), Zones: []fleet.Zone{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "south"}},
		Entries: entries, Models: models, Services: services, Model: model, Service: service,
		TokenDelay: tokenDelay, ServiceDelay: 5 * time.Millisecond, WeightsMemoryMB: 64, OriginBytes: 200e6,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Logf("stop: %v", err)
		}
	})
	w := &system{Fleet: f, t: t, store: platform.NewClient(f.Platform.HTTP)}
	w.publish("v1", 7)
	w.apply("", "v1")
	w.awaitServing("v1")
	return w
}

func (w *system) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	w.t.Cleanup(cancel)
	return ctx
}

func (w *system) until(what string, condition func() bool) {
	w.t.Helper()
	if err := fleet.Until(w.context(), what, condition); err != nil {
		w.t.Fatal(err)
	}
}

func content(seed int) []byte {
	data := make([]byte, 4<<20+12345)
	for i := range data {
		data[i] = byte(i*seed + i>>9)
	}
	return data
}

func (w *system) publish(version string, seed int) {
	w.t.Helper()
	w.until("platform responds", func() bool { _, _, err := w.store.List(w.context(), "models/"); return err == nil })
	w.until("origin responds", func() bool {
		var served map[string]int64
		return fleet.GetJSON(w.context(), w.Origin.HTTP+"/admin/served", &served) == nil
	})
	data := content(seed)
	sum := sha256.Sum256(data)
	w.sha = hex.EncodeToString(sum[:])
	request, err := http.NewRequestWithContext(w.context(), http.MethodPut, w.Origin.HTTP+"/v1/weights/"+model+"/"+version, bytes.NewReader(data))
	if err != nil {
		w.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		w.t.Fatal(err)
	}
	response.Body.Close()
	manifest, err := weights.Build(model, version, bytes.NewReader(data), 256<<10)
	if err != nil {
		w.t.Fatal(err)
	}
	if err := configstore.PublishModel(w.context(), w.store, manifest.ToProto(), "tester"); err != nil {
		w.t.Fatal(err)
	}
}

// apply applies a configuration in which the named zone is out, or none if the name is empty.
func (w *system) apply(out, version string) {
	w.t.Helper()
	zones := "zones:\n"
	for _, zone := range []struct{ name, region string }{{"a", "north"}, {"b", "north"}, {"c", "south"}} {
		state := "in"
		if zone.name == out {
			state = "out"
		}
		zones += fmt.Sprintf("  %s: {region: %s, state: %s}\n", zone.name, zone.region, state)
	}
	files := []config.File{
		{Name: "10-zones.yaml", Content: []byte(zones)},
		{Name: "20-models.yaml", Content: []byte("models:\n  rota: {version: " + version + ", all: true}\n")},
		{Name: "30-services.yaml", Content: []byte("services:\n  bookings: {path: /bookings}\n")},
		{Name: "40-limits.yaml", Content: []byte("limits: {cold_in_flight: 4, warm_in_flight: 32, ramp: 1s}\n")},
	}
	applied, err := configstore.Apply(w.context(), w.store, files, w.base, "tester")
	if err != nil {
		w.t.Fatal(err)
	}
	w.base = applied.Generation
}

// awaitServing waits until every entry serves chats from the weights w.sha, and bookings.
func (w *system) awaitServing(version string) {
	w.t.Helper()
	w.until("all engines hold "+version, func() bool {
		for _, engine := range w.Engines {
			var status struct {
				Models map[string]struct {
					SHA256 string `json:"sha256"`
				} `json:"models"`
			}
			if err := fleet.GetJSON(w.context(), engine.HTTP+"/v1/status", &status); err != nil || status.Models[model].SHA256 != w.sha {
				return false
			}
		}
		return true
	})
	for _, entry := range w.Entries {
		w.until(entry.Name+" serves "+version, func() bool {
			chat, err := fleet.Chat(w.context(), entry, model, "ready?", 2)
			if err != nil || !chat.Done || !chat.Fingerprints[w.sha] {
				return false
			}
			booking, err := fleet.Book(w.context(), entry, service, "ready", "none")
			return err == nil && booking.Status == http.StatusCreated
		})
	}
}

// runs returns how often each idempotency key ran, summed over all services.
func (w *system) runs() map[string]int {
	w.t.Helper()
	total := make(map[string]int)
	for _, backend := range w.Backends {
		var runs map[string]int
		if err := fleet.GetJSON(w.context(), backend.HTTP+"/admin/runs", &runs); err != nil {
			w.t.Fatal(err)
		}
		for key, n := range runs {
			total[key] += n
		}
	}
	return total
}
