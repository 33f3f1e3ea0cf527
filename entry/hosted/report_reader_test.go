package hosted

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// failingSocket fails some reads, then delivers one datagram, and is closed from then on.
type failingSocket struct {
	net.PacketConn
	failures int
	datagram []byte
}

// ReadFrom implements net.PacketConn.
func (s *failingSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	if s.failures > 0 {
		s.failures--
		return 0, nil, &net.OpError{Op: "read", Net: "udp", Err: syscall.ENOBUFS}
	}
	if s.datagram == nil {
		return 0, nil, &net.OpError{Op: "read", Net: "udp", Err: net.ErrClosed}
	}
	n := copy(p, s.datagram)
	s.datagram = nil
	return n, nil, nil
}

// Guards against an entry that receives no reports of workers any more after one failed read.
func TestReportsAreReadAfterAFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := reportsView(1)
		data, err := proto.Marshal(&laburnumgwv1.WorkerReport{Address: "10.0.0.0:1", Born: 1, Sequence: 1, Queued: 7})
		if err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		(&Process{view: v, log: zap.NewNop()}).readReports(&failingSocket{failures: 20, datagram: data})
		if got := v.workers["i-0"].report.Queued; got != 7 {
			t.Errorf("queue of the report is %d, want 7", got)
		}
		if took := time.Since(started); took < 20*readRetryPause {
			t.Errorf("20 failed reads in %s: the loop is busy", took)
		}
	})
}
