package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/platform"
	"laburnumgw/lib/rendezvous"
)

// placementInterval separates two looks at the placements.
const placementInterval = time.Second

// placer writes the placements of all models. One entry does so for all zones.
type placer struct {
	control *control
	store   *configstore.Client
	log     *zap.Logger
}

func newPlacer(c *control, store platform.Store, log *zap.Logger) *placer {
	return &placer{control: c, store: configstore.NewClient(store), log: log}
}

func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if current := p.control.current.Load(); current != nil && p.elected() {
			p.place(ctx, current)
		}
	}
}

func (p *placer) elected() bool {
	names := []string{p.control.self.VM}
	for _, peer := range p.control.liveEntries() {
		names = append(names, peer.VM)
	}
	return rendezvous.Best("placement", names) == p.control.self.VM
}

func (p *placer) place(ctx context.Context, current *inForce) {
	for name, model := range current.snapshot.Models {
		digest := ""
		for _, version := range current.bundle.GetModels() {
			if version.GetModel() == name && version.GetVersion() == model.Version {
				digest = version.GetManifestDigest()
			}
		}
		if digest == "" {
			continue
		}
		var assignments []*laburnumgwv1.Assignment
		for _, view := range p.control.members.endpoints() {
			if view.Report == nil || view.State != membership.Alive || !slices.Contains(view.Report.GetModels(), name) {
				continue
			}
			assignments = append(assignments, &laburnumgwv1.Assignment{
				Vm: view.VM, Zone: view.Zone, Region: view.Region, Address: view.Address, VersionDigest: digest,
			})
		}
		slices.SortFunc(assignments, func(a, b *laburnumgwv1.Assignment) int { return strings.Compare(a.GetVm(), b.GetVm()) })
		p.write(ctx, current, name, assignments)
	}
}

func (p *placer) write(ctx context.Context, current *inForce, model string, assignments []*laburnumgwv1.Assignment) {
	var generation uint64
	for _, placement := range current.bundle.GetPlacements() {
		if placement.GetModel() != model {
			continue
		}
		generation = placement.GetGeneration()
		if slices.EqualFunc(placement.GetAssignments(), assignments, func(a, b *laburnumgwv1.Assignment) bool {
			return a.GetVm() == b.GetVm() && a.GetVersionDigest() == b.GetVersionDigest() && a.GetAddress() == b.GetAddress()
		}) {
			return
		}
	}
	err := p.store.WritePlacement(ctx, &laburnumgwv1.Placement{Model: model, Fencing: 1, Generation: generation + 1, Assignments: assignments})
	p.log.Info("placement written", zap.String("model", model), zap.Int("vms", len(assignments)), zap.Error(err))
}
