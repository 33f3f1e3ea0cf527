// Package rpcmirror carries mirrored kinds between processes over gRPC.
package rpcmirror

import (
	"context"
	"math/rand/v2"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rpc"
)

// pullSlack is added to the time that a neighbour may wait.
const pullSlack = time.Second

// maxWait bounds how long a caller may let a pull wait.
const maxWait = 30 * time.Second

// Server lets neighbours read what this process mirrors.
type Server struct {
	laburnumgwv1.UnimplementedMirrorServer
	Driver *mirror.Driver
}

// Pull implements the Mirror service.
func (s *Server) Pull(ctx context.Context, request *laburnumgwv1.PullRequest) (*laburnumgwv1.PullResponse, error) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxWait)
	response := &laburnumgwv1.PullResponse{}
	for _, state := range s.Driver.Newer(ctx, request.GetKnown(), wait) {
		kind := &laburnumgwv1.KindState{Kind: state.Kind, Revision: state.Revision}
		for _, object := range state.Objects {
			kind.Objects = append(kind.Objects, &laburnumgwv1.MirroredObject{
				Name: object.Name, Revision: object.Revision, Value: object.Value,
			})
		}
		response.Kinds = append(response.Kinds, kind)
	}
	return response, nil
}

// Client asks one of several neighbours. It stays with one that answers.
type Client struct {
	conns *rpc.Pool
	// peers returns the addresses of the neighbours, the preferred ones first.
	peers   func() []string
	current string
}

// NewClient returns a client that asks the neighbours that peers returns.
func NewClient(conns *rpc.Pool, peers func() []string) *Client {
	return &Client{conns: conns, peers: peers}
}

// Pull implements mirror.Neighbours.
func (c *Client) Pull(ctx context.Context, known map[string]int64, wait time.Duration) ([]mirror.State, error) {
	if c.current == "" {
		peers := c.peers()
		if len(peers) == 0 {
			return nil, errkind.New(errkind.Unavailable, "wait until the store names other processes", "no neighbour is known")
		}
		c.current = peers[rand.IntN(len(peers))]
	}
	states, err := c.pull(ctx, c.current, known, wait)
	if err != nil {
		c.current = ""
	}
	return states, err
}

func (c *Client) pull(ctx context.Context, address string, known map[string]int64, wait time.Duration) ([]mirror.State, error) {
	conn, err := c.conns.Conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pullSlack)
	defer cancel()
	response, err := laburnumgwv1.NewMirrorClient(conn).Pull(ctx, &laburnumgwv1.PullRequest{Known: known, WaitMs: int32(wait.Milliseconds())})
	if err != nil {
		return nil, err
	}
	states := make([]mirror.State, 0, len(response.GetKinds()))
	for _, kind := range response.GetKinds() {
		state := mirror.State{Kind: kind.GetKind(), Revision: kind.GetRevision()}
		for _, object := range kind.GetObjects() {
			state.Objects = append(state.Objects, mirror.Object{
				Name: object.GetName(), Revision: object.GetRevision(), Value: object.GetValue(),
			})
		}
		states = append(states, state)
	}
	return states, nil
}
