package rpc

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/dial"
)

// node responds to reports, except to those of a VM named "slow".
type node struct {
	laburnumgwv1.UnimplementedNodeServer
}

func (node) Report(ctx context.Context, request *laburnumgwv1.ReportRequest) (*laburnumgwv1.ReportResponse, error) {
	if request.GetVm() == "slow" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &laburnumgwv1.ReportResponse{ConfigGeneration: 7}, nil
}

// Guards against a call without a time limit, and against a caller that takes an empty
// response for a real one.
func TestCall(t *testing.T) {
	Convey("Given a process that serves one of two calls", t, func() {
		listener := bufconn.Listen(1 << 16)
		server := grpc.NewServer()
		laburnumgwv1.RegisterNodeServer(server, node{})
		go func() { _ = server.Serve(listener) }() // Serve returns when the test stops the server
		pool := NewPlainPool()
		pool.UseDialer(func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.DialContext(ctx) })
		Reset(func() { pool.Close(); server.Stop() })
		report := func(vm string, limit time.Duration) (*laburnumgwv1.ReportResponse, error) {
			return Call(context.Background(), pool, "peer:1", limit, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.Report, &laburnumgwv1.ReportRequest{Vm: vm})
		}

		Convey("a response is returned", func() {
			response, err := report("quick", time.Minute)
			So(err, ShouldBeNil)
			So(response.GetConfigGeneration(), ShouldEqual, 7)
		})
		Convey("no response within the limit returns an error and no response", func() {
			response, err := report("slow", 50*time.Millisecond)
			So(status.Code(err), ShouldEqual, codes.DeadlineExceeded)
			So(response, ShouldBeNil)
		})
		Convey("a refusal returns an error and no response", func() {
			response, err := Call(context.Background(), pool, "peer:1", time.Minute, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.Gossip, &laburnumgwv1.GossipRequest{})
			So(status.Code(err), ShouldEqual, codes.Unimplemented)
			So(response, ShouldBeNil)
		})
	})
}

// Guards against a pool that bounds the attempts of its own dialer only: the processes on the
// users' platform replace the dialer, and waited 800 ms for a machine that was off.
func TestCustomDialerHasShortFirstAttempt(t *testing.T) {
	Convey("The first attempt with a custom dialer has a short timeout", t, func() {
		timeouts := make(chan time.Duration, 64)
		pool := NewPlainPool()
		pool.UseDialer(func(ctx context.Context, _, _ string) (net.Conn, error) {
			deadline, bounded := ctx.Deadline()
			if !bounded {
				deadline = time.Now().Add(time.Hour)
			}
			timeouts <- time.Until(deadline)
			return nil, errors.New("off")
		})
		Reset(pool.Close)
		_, err := Call(context.Background(), pool, "peer:1", time.Second, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.Report, &laburnumgwv1.ReportRequest{})
		So(err, ShouldNotBeNil)
		So(<-timeouts, ShouldBeLessThanOrEqualTo, dial.FirstAttemptTimeout)
	})
}
