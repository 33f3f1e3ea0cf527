package configsync

import (
	"cmp"
	"slices"

	pb "laburnumgw/api/laburnumgw/v1"
)

// referenceLength is the number of leading digest characters that refer to a file or
// manifest that the receiver already has. A reference carries no content.
const referenceLength = 16

// reference returns the part of a digest that stands for a file or manifest in a delta.
func reference(digest string) string {
	return digest[:min(referenceLength, len(digest))]
}

// historyLength is the number of most recent generations for which deltas can be made.
const historyLength = 16

// history holds the digests of the most recent bundles.
type history struct {
	generations []pastGeneration
}

type pastGeneration struct {
	generation uint64
	files      map[string]bool
	manifests  map[string]bool
}

func (h *history) add(bundle *pb.ConfigBundle) {
	past := pastGeneration{generation: bundle.GetGeneration(), files: make(map[string]bool), manifests: make(map[string]bool)}
	for _, file := range bundle.GetFiles() {
		past.files[file.GetDigest()] = true
	}
	for _, model := range bundle.GetModels() {
		past.manifests[model.GetModel()+"/"+model.GetManifestDigest()] = true
	}
	h.generations = append(h.generations, past)
	if len(h.generations) > historyLength {
		h.generations = h.generations[1:]
	}
}

func (h *history) find(generation uint64) (pastGeneration, bool) {
	for _, past := range h.generations {
		if past.generation == generation {
			return past, true
		}
	}
	return pastGeneration{}, false
}

// delta returns the bundle with references in place of the files and models that the
// caller has in generation have. Its placements carry no assignments, which are large and
// change separately. For a generation that is not in the history it returns the complete
// bundle.
func (h *history) delta(bundle *pb.ConfigBundle, have uint64) *pb.ConfigBundle {
	past, ok := h.find(have)
	if !ok {
		return bundle
	}
	delta := summary(bundle)
	for _, file := range bundle.GetFiles() {
		if past.files[file.GetDigest()] {
			file = &pb.ConfigFile{Name: file.GetName(), Digest: reference(file.GetDigest())}
		}
		delta.Files = append(delta.Files, file)
	}
	for _, model := range bundle.GetModels() {
		if past.manifests[model.GetModel()+"/"+model.GetManifestDigest()] {
			model = &pb.ModelVersion{Model: model.GetModel(), ManifestDigest: reference(model.GetManifestDigest())}
		}
		delta.Models = append(delta.Models, model)
	}
	return delta
}

// completeDelta resolves the references of a delta from the own bundle. It returns false
// when a referenced file or model is missing. The placements of the delta have no
// assignments and are left out.
func completeDelta(own, delta *pb.ConfigBundle) (*pb.ConfigBundle, bool) {
	files := make(map[string]*pb.ConfigFile)
	for _, file := range own.GetFiles() {
		files[reference(file.GetDigest())] = file
	}
	models := make(map[string]*pb.ModelVersion)
	for _, model := range own.GetModels() {
		models[model.GetModel()+"/"+reference(model.GetManifestDigest())] = model
	}
	full := &pb.ConfigBundle{Generation: delta.GetGeneration(), Digest: delta.GetDigest()}
	for _, file := range delta.GetFiles() {
		if len(file.GetContent()) == 0 && len(file.GetDigest()) <= referenceLength {
			known := files[file.GetDigest()]
			if known == nil {
				return nil, false
			}
			file = &pb.ConfigFile{Name: file.GetName(), Digest: known.GetDigest(), Content: known.GetContent()}
		}
		full.Files = append(full.Files, file)
	}
	for _, model := range delta.GetModels() {
		if len(model.GetManifestDigest()) <= referenceLength {
			model = models[model.GetModel()+"/"+model.GetManifestDigest()]
		}
		if model == nil {
			return nil, false
		}
		full.Models = append(full.Models, model)
	}
	return full, true
}

// summary returns the response to a query: generation, digest, and the placements without
// assignments.
func summary(bundle *pb.ConfigBundle) *pb.ConfigBundle {
	result := &pb.ConfigBundle{Generation: bundle.GetGeneration(), Digest: bundle.GetDigest()}
	for _, p := range bundle.GetPlacements() {
		result.Placements = append(result.Placements, &pb.Placement{Model: p.GetModel(), Fencing: p.GetFencing(), Generation: p.GetGeneration()})
	}
	return result
}

func comparePlacements(a, b *pb.Placement) int {
	return cmp.Or(cmp.Compare(a.GetFencing(), b.GetFencing()), cmp.Compare(a.GetGeneration(), b.GetGeneration()))
}

func placementOf(bundle *pb.ConfigBundle, model string) *pb.Placement {
	for _, p := range bundle.GetPlacements() {
		if p.GetModel() == model {
			return p
		}
	}
	return nil
}

// hasNewerPlacements reports whether other has a placement that is newer than own's.
func hasNewerPlacements(own, other *pb.ConfigBundle) bool {
	return len(newerPlacements(own, other)) > 0
}

// newerPlacements returns the placements of other that are newer than those of own.
func newerPlacements(own, other *pb.ConfigBundle) []*pb.Placement {
	var newer []*pb.Placement
	for _, p := range other.GetPlacements() {
		if comparePlacements(p, placementOf(own, p.GetModel())) > 0 {
			newer = append(newer, p)
		}
	}
	return newer
}

// withPlacements returns the bundle with the newer one, for each model, of the own placement
// and the given one, so that a newer configuration generation never brings back an older
// placement.
func withPlacements(own, bundle *pb.ConfigBundle, placements []*pb.Placement) *pb.ConfigBundle {
	merged := &pb.ConfigBundle{Generation: bundle.GetGeneration(), Digest: bundle.GetDigest(),
		Files: bundle.GetFiles(), Models: bundle.GetModels()}
	merged.Placements = append(merged.Placements, own.GetPlacements()...)
	for _, p := range placements {
		i := slices.IndexFunc(merged.Placements, func(q *pb.Placement) bool { return q.GetModel() == p.GetModel() })
		switch {
		case i < 0:
			merged.Placements = append(merged.Placements, p)
		case comparePlacements(p, merged.Placements[i]) > 0:
			merged.Placements[i] = p
		}
	}
	return merged
}

// mergePlacements adopts the newer placements of a bundle that has the own digest. It
// reports whether there were any.
func (n *Node) mergePlacements(bundle *pb.ConfigBundle) bool {
	own := n.newest()
	newer := newerPlacements(own, bundle)
	if bundle.GetDigest() != own.GetDigest() || len(newer) == 0 {
		return false
	}
	merged := withPlacements(own, own, newer)
	if len(bundle.GetModels()) > 0 {
		merged.Models = bundle.GetModels()
	}
	n.join.best = merged
	if n.current != nil && n.current.GetGeneration() == merged.GetGeneration() {
		n.current = merged
		n.out.Activate = merged
	}
	return true
}

// placementNotice returns a bundle without files that carries placements of the own
// generation.
func placementNotice(own *pb.ConfigBundle, placements []*pb.Placement) *pb.ConfigBundle {
	return &pb.ConfigBundle{Generation: own.GetGeneration(), Digest: own.GetDigest(), Placements: placements}
}
