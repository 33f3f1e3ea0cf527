package membership

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "laburnumgw/api/laburnumgw/v1"
)

// sameStatic reports whether a change from load a to load b needs no full report. Changed
// progress needs one only when a version becomes complete, because chunks arrive faster
// than reports are sent.
func sameStatic(a, b Load) bool {
	return maps.Equal(a.Serving, b.Serving) &&
		slices.Equal(a.Services, b.Services) &&
		slices.Equal(a.Models, b.Models) &&
		a.WeightsMemory == b.WeightsMemory &&
		slices.Equal(a.Load.GetModelVersions(), b.Load.GetModelVersions()) &&
		slices.EqualFunc(a.Progress, b.Progress, sameProgress) &&
		maps.EqualFunc(a.Shards, b.Shards, func(x, y *pb.ShardList) bool { return proto.Equal(x, y) })
}

func sameProgress(a, b *pb.WeightProgress) bool {
	completeA := a.GetChunksHave() == a.GetChunksTotal()
	completeB := b.GetChunksHave() == b.GetChunksTotal()
	return a.GetModel() == b.GetModel() && a.GetVersionDigest() == b.GetVersionDigest() && completeA == completeB
}
