// Package rpcmirror carries mirrored kinds between processes over gRPC.
package rpcmirror

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/suspend"
)

// pullSlack is the time that a pull may take beyond the wait for a change at the neighbour.
const pullSlack = 300 * time.Millisecond

// minCompressedBytes is the size from which on a response is compressed. A configuration of
// thousands of routes shrinks to a tenth, and passes each link of the mirroring tree in
// turn.
const minCompressedBytes = 16 << 10

// maxWait bounds how long a caller may let a pull wait for a change.
const maxWait = 30 * time.Second

// Server serves the state that this process mirrors to neighbours.
type Server struct {
	laburnumgwv1.UnimplementedMirrorServer
	Driver *mirror.Driver
	// leaving is set while this process stops.
	leaving atomic.Bool
}

// Leave tells callers that this process stops, so that they mirror from another one before it ends.
func (s *Server) Leave() { s.leaving.Store(true) }

// Pull implements the Mirror service.
func (s *Server) Pull(ctx context.Context, request *laburnumgwv1.PullRequest) (*laburnumgwv1.PullResponse, error) {
	started := suspend.Start()
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxWait)
	known := mirror.Cursor{Instance: request.GetInstance(), Sequences: request.GetKnown(), Revisions: make(map[string]int64, len(request.GetRevisions()))}
	for kind, number := range request.GetRevisions() {
		known.Revisions[kind] = mirror.NewRevision(request.GetEras()[kind], number)
	}
	s.Driver.NoteNeighbour(request.GetAddress(), known.Revisions)
	s.Driver.WaitForChanges(ctx, known, wait)
	// The caller takes all time after this one for transit, so that no age that is read later is short.
	held := started.Elapsed()
	complete, states := s.Driver.CurrentChanges(known)
	response := &laburnumgwv1.PullResponse{HeldMs: held.Milliseconds(), ConfirmedMsAgo: s.Driver.StoreResponseAge().Milliseconds(), Direct: s.Driver.ReceivesStoreState(), Instance: s.Driver.Instance(),
		SoundMs: s.Driver.StoreAvailableFor().Milliseconds(), Leaving: s.leaving.Load()}
	response.CompleteMsAgo = make(map[string]int64)
	for kind, ago := range complete {
		response.CompleteMsAgo[kind] = ago.Milliseconds() + 1
	}
	for _, state := range states {
		kind := &laburnumgwv1.KindState{
			Kind: state.Kind, Revision: mirror.NumberOf(state.Revision), Era: mirror.EraOf(state.Revision), Sequence: state.Sequence, Full: state.Full, Removed: state.Removed,
		}
		for _, object := range state.Objects {
			kind.Objects = append(kind.Objects, &laburnumgwv1.MirroredObject{
				Name: object.Name, Revision: mirror.NumberOf(object.Revision), Era: mirror.EraOf(object.Revision), Value: object.Value, Status: object.Status, KnownMs: knownMs(object),
			})
		}
		response.Kinds = append(response.Kinds, kind)
	}
	if proto.Size(response) >= minCompressedBytes {
		// This fails only for a client that does not accept the encoding.
		if err := grpc.SetSendCompressor(ctx, gzip.Name); err != nil {
			return response, nil //nolint:nilerr // such a client gets plain bytes
		}
	}
	return response, nil
}

// knownMs returns for how many milliseconds an object has been known, rounded up, or 0 when that is not
// known.
func knownMs(object mirror.Object) int64 {
	if object.LearnedAt.IsZero() {
		return 0
	}
	return time.Since(object.LearnedAt).Milliseconds() + 1
}

// learnedAt returns when the server learned of an object that it reported at a time, or the
// zero time when the server does not know that.
func learnedAt(object *laburnumgwv1.MirroredObject, reportedAt time.Time) time.Time {
	if object.GetKnownMs() <= 0 {
		return time.Time{}
	}
	return reportedAt.Add(-time.Duration(object.GetKnownMs()) * time.Millisecond)
}

// transitTime returns the longest time for which a response may have been in transit: the
// duration of the call without the time for which the server held the request. A large
// response takes long on a narrow link, and one that arrives at a suspended machine lies
// unread.
func transitTime(call suspend.Stopwatch, response *laburnumgwv1.PullResponse) time.Duration {
	return max(0, call.Elapsed()-time.Duration(response.GetHeldMs())*time.Millisecond)
}

// ObjectAge states how long a process has known a revision of an object.
type ObjectAge struct {
	Name     string
	Revision int64
	// Value is what the process has under the revision.
	Value json.RawMessage
	// Age is how long that was when the response was received, and Received measures the time since.
	Age      time.Duration
	Received suspend.Stopwatch
	// Transit is the part of Age for which the response may have been in transit.
	Transit time.Duration
}

// Known returns how long the process has known the revision by now.
func (a ObjectAge) Known() time.Duration {
	if a.Received.IsZero() {
		return a.Age
	}
	return a.Age + a.Received.Elapsed()
}

// Ages asks one process how long it has known the objects of a kind. Objects whose age that
// process does not know are left out.
func Ages(ctx context.Context, conns *rpc.Pool, address, kind string) ([]ObjectAge, error) {
	call := suspend.Start()
	response, err := rpc.Call(ctx, conns, address, pullSlack, laburnumgwv1.NewMirrorClient, laburnumgwv1.MirrorClient.Pull,
		&laburnumgwv1.PullRequest{Known: map[string]int64{kind: -1}})
	if err != nil {
		return nil, fmt.Errorf("pull object ages from %s: %w", address, err)
	}
	received := suspend.Start()
	transit := transitTime(call, response)
	var ages []ObjectAge
	for _, state := range response.GetKinds() {
		for _, object := range state.GetObjects() {
			if object.GetKnownMs() > 0 {
				ages = append(ages, ObjectAge{object.GetName(), mirror.NewRevision(object.GetEra(), object.GetRevision()), object.GetValue(), transit + time.Duration(object.GetKnownMs())*time.Millisecond, received, transit})
			}
		}
	}
	return ages, nil
}

// Client asks one of several neighbours: the most preferred one that has not failed
// recently.
type Client struct {
	// pullFrom asks the neighbour at an address.
	pullFrom func(ctx context.Context, address string, since mirror.Cursor, wait time.Duration) (mirror.PullResult, error)
	// peers returns the addresses of the neighbours, the preferred ones first.
	peers  func() []string
	choice choice
	// lastPeer is the neighbour that was asked last.
	lastPeer string
}

// NewClient returns a client that asks the neighbours that peers returns. self is the address at
// which the caller serves its own copy to them; empty if it serves none.
func NewClient(conns *rpc.Pool, self string, peers func() []string) *Client {
	return &Client{pullFrom: transport{conns, self}.pull, peers: peers}
}

// NewSeedClient returns a client that asks processes at fixed addresses in turn, or nil when
// there are none.
func NewSeedClient(conns *rpc.Pool, addresses []string) mirror.Neighbours {
	if len(addresses) == 0 {
		return nil
	}
	return NewClient(conns, "", func() []string { return addresses })
}

// Pull implements mirror.Neighbours. A neighbour that fails, or that is stopping, is avoided for a
// while, so that the next call asks another one.
func (c *Client) Pull(ctx context.Context, since mirror.Cursor, wait time.Duration) (mirror.PullResult, error) {
	peer := c.choice.pick(c.peers(), time.Now())
	if peer == "" {
		return mirror.PullResult{}, errkind.New(errkind.Unavailable, "wait until the store names other processes", "no neighbour is known")
	}
	c.lastPeer = peer
	pulled, err := c.pullFrom(ctx, peer, since, wait)
	switch {
	case err != nil:
		c.choice.avoid(peer, time.Now(), failedAvoidance)
	case pulled.Leaving:
		c.choice.avoid(peer, time.Now(), leavingAvoidance)
	}
	return pulled, err
}

// PullFrom implements mirror.Neighbours.
func (c *Client) PullFrom(ctx context.Context, address string, since mirror.Cursor, wait time.Duration) (mirror.PullResult, error) {
	return c.pullFrom(ctx, address, since, wait)
}

// MarkLastUnreliable implements mirror.Neighbours.
func (c *Client) MarkLastUnreliable() { c.choice.avoid(c.lastPeer, time.Now(), unreliableAvoidance) }

// transport pulls over gRPC.
type transport struct {
	conns *rpc.Pool
	self  string
}

func (t transport) pull(ctx context.Context, address string, since mirror.Cursor, wait time.Duration) (mirror.PullResult, error) {
	call := suspend.Start()
	request := &laburnumgwv1.PullRequest{
		Instance: since.Instance, Known: since.Sequences, WaitMs: int32(wait.Milliseconds()), Address: t.self,
		Revisions: make(map[string]int64, len(since.Revisions)), Eras: make(map[string]int64, len(since.Revisions)),
	}
	for kind, revision := range since.Revisions {
		request.Revisions[kind], request.Eras[kind] = mirror.NumberOf(revision), mirror.EraOf(revision)
	}
	response, err := rpc.Call(ctx, t.conns, address, wait+pullSlack, laburnumgwv1.NewMirrorClient, laburnumgwv1.MirrorClient.Pull, request)
	if err != nil {
		return mirror.PullResult{}, fmt.Errorf("pull from %s: %w", address, err)
	}
	// A standstill after these readings makes the transit longer, and so what is dated by them older.
	now, received := time.Now(), suspend.Start()
	transit := transitTime(call, response)
	reportedAt := now.Add(-transit)
	pulled := mirror.PullResult{Received: received, StoreResponseAge: transit + time.Duration(response.GetConfirmedMsAgo())*time.Millisecond, StoreReachable: response.GetDirect(), Instance: response.GetInstance(),
		StoreAvailableFor: time.Duration(response.GetSoundMs()) * time.Millisecond, Leaving: response.GetLeaving()}
	pulled.CompletenessAges = make(map[string]time.Duration, len(response.GetCompleteMsAgo()))
	for kind, ago := range response.GetCompleteMsAgo() {
		pulled.CompletenessAges[kind] = transit + time.Duration(ago)*time.Millisecond
	}
	for _, kind := range response.GetKinds() {
		state := mirror.State{
			Kind: kind.GetKind(), Revision: mirror.NewRevision(kind.GetEra(), kind.GetRevision()), Sequence: kind.GetSequence(), Full: kind.GetFull(), Removed: kind.GetRemoved(),
		}
		for _, object := range kind.GetObjects() {
			state.Objects = append(state.Objects, mirror.Object{
				Name: object.GetName(), Revision: mirror.NewRevision(object.GetEra(), object.GetRevision()), Value: object.GetValue(), Status: object.GetStatus(), LearnedAt: learnedAt(object, reportedAt),
			})
		}
		pulled.States = append(pulled.States, state)
	}
	return pulled, nil
}
