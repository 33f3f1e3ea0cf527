package endpoint

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"

	"github.com/VictoriaMetrics/metrics"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/settings"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/transfer"
	"laburnumgw/lib/weights"
)

// absentOrigin has no chunks.
type absentOrigin struct{}

func (absentOrigin) Chunk(context.Context, *weights.Manifest, int, func()) ([]byte, error) {
	return nil, errors.New("no such chunk")
}

// Guards against weights that are dropped and fetched again, since a bundle held an older placement of their
// model, which is refused.
func TestRefusedPlacementDropsNoWeights(t *testing.T) {
	manifest, err := weights.Build("m", "v1", bytes.NewReader(make([]byte, 3<<20)), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	version := manifest.ToProto()
	conns := rpc.NewPlainPool()
	defer conns.Close()
	w := newWeightManager(&Settings{Process: settings.Process{VM: "vm-1"}, Models: []string{"m"}, WeightsMemoryMB: 64, OriginMbit: 100}, &transfer.Transfer{
		Self: swarm.Member{VM: "vm-1", Region: "r"}, Address: "127.77.0.1:9", HomeRegion: "r", Conns: conns, Origin: absentOrigin{},
		Links: transfer.NewLinks(1e6), Metrics: transfer.NewMetrics(metrics.NewSet()), Log: zap.NewNop(),
	}, newEndpointMetrics(), zap.NewNop())
	place := func(fencing uint64, vm string) {
		snapshot := config.Default()
		snapshot.Models = map[string]config.Model{"m": {Version: "v1"}}
		w.configure(&laburnumgwv1.ConfigBundle{
			Models:     []*laburnumgwv1.ModelVersion{version},
			Placements: []*laburnumgwv1.Placement{{Model: "m", Fencing: fencing, Assignments: []*laburnumgwv1.Assignment{{Vm: vm, VersionDigest: version.GetManifestDigest()}}}},
		}, snapshot)
	}
	place(5, "vm-1")
	before, held := w.distribution(version.GetManifestDigest())
	if !held {
		t.Fatal("no distribution")
	}
	place(4, "vm-2")
	if after, held := w.distribution(version.GetManifestDigest()); !held || after != before {
		t.Error("the weights were dropped")
	}
	if w.assignments["m"].fencing != 5 {
		t.Errorf("assignment %+v", w.assignments["m"])
	}
	// A newer placement elsewhere drops them.
	place(6, "vm-2")
	if _, held := w.distribution(version.GetManifestDigest()); held {
		t.Error("the weights are held")
	}
}
