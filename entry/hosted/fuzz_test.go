package hosted

import (
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/routing"
	"laburnumgw/platform"
)

// pickForAllServices chooses an endpoint for each service.
func (d *deployment) pickForAllServices(now time.Time) {
	v := d.front.view
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, state := range v.services {
		request := &routing.Request{ID: "r", Attempt: 1, Service: name}
		if state.config.Engine != nil {
			request.Model, request.Service = name, ""
			request.Duration = state.config.Engine.Duration(0, 0)
		}
		// A service without a usable endpoint is no fault here.
		_, _ = state.table.Pick(request, now)
	}
}

// Guards against a datagram from any machine that can reach the socket and that crashes the
// process, or that gives a worker a negative load, which would attract the requests.
func FuzzDatagram(f *testing.F) {
	for _, report := range []*laburnumgwv1.WorkerReport{
		{Address: workerAddress("w1"), Born: 1, Model: "m", Version: 1, LayersTo: 16, Queued: 1, Running: 2, Sequence: 3},
		{Address: workerAddress("w1"), Born: 1, Version: -1, LayersFrom: -5, LayersTo: -1, Queued: -1 << 31, Running: -1 << 31, Sequence: 1 << 63, ClosesInMs: -1 << 31},
		{Address: workerAddress("w1"), Born: 1 << 62, Running: 1<<31 - 1, Queued: 1<<31 - 1, ClosesInMs: 1<<31 - 1, Leaving: true},
		{LeavingVm: "w1", Born: -1 << 63},
	} {
		data, err := proto.Marshal(report)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newDeployment(t)
		d.put(platform.KindWorkers, "w1", workerEntry("llm", "w1", "ready", 1))
		d.put(platform.KindWorkers, "w2", workerEntry("desk", "w2", "ready", 0))
		v := d.front.view
		v.applyDatagram(data)
		for _, w := range v.workers {
			r := w.report
			if r.Queued < 0 || r.Running < 0 || r.SwitchoverIn < 0 || r.Weights.Version < 0 {
				t.Errorf("report %+v", r)
			}
		}
		d.pickForAllServices(time.Now())
		v.handleSuspension(time.Second)
		d.pickForAllServices(time.Now())
	})
}

// Guards against an object that another program wrote to the store and that crashes the process.
func FuzzStoreChange(f *testing.F) {
	f.Add(uint8(0), []byte(testConfig))
	f.Add(uint8(0), []byte(`{"version":9,"services":[null,{"name":"llm","cold_per_s":-1e308,"engine":{}},{"name":"desk","cold_per_s":1e308}],"routes":[{"name":"r","kind":"safe","service":"none"}]}`))
	f.Add(uint8(1), []byte(workerEntry("llm", "w1", "draining", -4)))
	f.Add(uint8(1), []byte(`{"service":"llm","address":"[fd77:3100::]:80","zone":"z","slots":2147483647,"state":"ready","born":253402300799999}`))
	f.Add(uint8(2), []byte(`{}`))
	f.Add(uint8(3), []byte(`{"model":"m","version":2147483647}`))
	f.Add(uint8(4), []byte(`{"zone":"a","address":"10.0.0.9:1"}`))
	kinds := []string{platform.KindConfig, platform.KindWorkers, platform.KindEvacuations, platform.KindVersions, platform.KindEntries}
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		d := newDeployment(t)
		d.put(platform.KindWorkers, "w2", workerEntry("llm", "w2", "ready", 1))
		v := d.front.view
		name := kinds[int(kind)%len(kinds)]
		for _, object := range []string{"main", "w1", "w2"} {
			change := mirror.Change{Object: mirror.Object{Name: object, Revision: 100, Value: json.RawMessage(data)}}
			v.applyChanges(name, []mirror.Change{change})
			d.pickForAllServices(time.Now())
			v.neighbours()
			v.staleAfter()
			change.Deleted = true
			v.applyChanges(name, []mirror.Change{change})
			d.pickForAllServices(time.Now())
		}
	})
}
