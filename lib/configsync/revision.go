package configsync

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "laburnumgw/api/laburnumgw/v1"
)

// revisionQueryInterval is the shortest time between queries that differing revisions cause.
// Entries and endpoint processes learn of a placement at different times, so that a
// difference alone does not tell which of them is behind.
const revisionQueryInterval = 500 * time.Millisecond

// Revision returns a hash of the placements of a bundle. Processes with the same revision
// hold the same placements, in any order. It is 0 without placements.
func Revision(bundle *pb.ConfigBundle) uint64 {
	if len(bundle.GetPlacements()) == 0 {
		return 0
	}
	hash := xxhash.New()
	var number [8]byte
	placements := slices.SortedFunc(slices.Values(bundle.GetPlacements()), func(a, b *pb.Placement) int {
		return strings.Compare(a.GetModel(), b.GetModel())
	})
	for _, placement := range placements {
		_, _ = hash.WriteString(placement.GetModel())
		for _, n := range []uint64{placement.GetFencing(), placement.GetGeneration()} {
			binary.BigEndian.PutUint64(number[:], n)
			_, _ = hash.Write(number[:])
		}
	}
	return hash.Sum64()
}

// ObserveRevision handles the placement revision that a peer reported. Placements change
// within a generation, so that the generation alone does not cause a process to pull them.
func (n *Node) ObserveRevision(now time.Duration, peer Peer, revision uint64) {
	if n.current == nil || !n.join.done || revision == 0 || revision == Revision(n.current) {
		return
	}
	if now < n.nextRevisionQuery {
		return
	}
	n.nextRevisionQuery = now + revisionQueryInterval
	n.out.Pulls = append(n.out.Pulls, query(peer))
}
