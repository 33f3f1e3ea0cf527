package mtls

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// statusServer serves Status calls.
type statusServer struct {
	laburnumgwv1.UnimplementedNodeServer
}

func (statusServer) Status(context.Context, *laburnumgwv1.StatusRequest) (*laburnumgwv1.StatusResponse, error) {
	return &laburnumgwv1.StatusResponse{Vm: "served"}, nil
}

func issue(t *testing.T, authority *Authority, dir string, identity Identity) *Keys {
	t.Helper()
	pair, err := authority.Issue(identity, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.Save(dir, identity.VM); err != nil {
		t.Fatal(err)
	}
	keys, err := LoadKeys(Files{
		Cert: filepath.Join(dir, identity.VM+".crt"), Key: filepath.Join(dir, identity.VM+".key"), CA: filepath.Join(dir, AuthorityCertFile),
	})
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func newAuthority(t *testing.T) (*Authority, string) {
	t.Helper()
	dir := t.TempDir()
	authority, err := NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := authority.Save(dir); err != nil {
		t.Fatal(err)
	}
	return authority, dir
}

func serve(t *testing.T, keys *Keys) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	policy := Policy{laburnumgwv1.Node_Status_FullMethodName: {RoleOperator}}
	server := grpc.NewServer(append(policy.ServerOptions(), grpc.Creds(keys.ServerCredentials()))...)
	laburnumgwv1.RegisterNodeServer(server, statusServer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func callStatus(t *testing.T, address string, transport credentials.TransportCredentials) error {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(transport))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = laburnumgwv1.NewNodeClient(conn).Status(ctx, &laburnumgwv1.StatusRequest{})
	return err
}

// Guards against peers that act in a role for which they have no certificate.
func TestRolesAreEnforced(t *testing.T) {
	Convey("Given an entry that serves operators", t, func() {
		authority, dir := newAuthority(t)
		address := serve(t, issue(t, authority, dir, Identity{RoleEntry, "a", "entry-1"}))
		operator := issue(t, authority, dir, Identity{RoleOperator, "operators", "alice"})
		endpoint := issue(t, authority, dir, Identity{RoleEndpoint, "a", "model-1"})

		Convey("an operator is served", func() {
			So(callStatus(t, address, operator.ClientCredentials(RoleEntry)), ShouldBeNil)
		})
		Convey("another role is refused with its identity and the remedy", func() {
			err := callStatus(t, address, endpoint.ClientCredentials(RoleEntry))
			So(status.Code(err), ShouldEqual, codes.PermissionDenied)
			So(err.Error(), ShouldContainSubstring, "laburnumgw://endpoint/a/model-1")
			So(err.Error(), ShouldContainSubstring, "use a certificate of a role in [operator]")
		})
		Convey("a certificate of another authority is refused", func() {
			other, otherDir := newAuthority(t)
			stranger := issue(t, other, otherDir, Identity{RoleOperator, "operators", "mallory"})
			So(callStatus(t, address, stranger.ClientCredentials(RoleEntry)), ShouldNotBeNil)
		})
		Convey("a client refuses a server of an unexpected role", func() {
			err := callStatus(t, address, operator.ClientCredentials(RoleEndpoint))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "was refused")
		})
	})
}

// Guards against a key rotation that needs a restart, and against one that stops a
// process because its files are half written.
func TestRotationWithoutRestart(t *testing.T) {
	Convey("Given loaded keys", t, func() {
		authority, dir := newAuthority(t)
		identity := Identity{RoleEntry, "a", "entry-1"}
		keys := issue(t, authority, dir, identity)
		now := time.Now()
		keys.now = func() time.Time { return now }
		before := keys.load().certificate.Leaf.SerialNumber

		Convey("new files are in use after the check interval", func() {
			pair, err := authority.Issue(identity, time.Now(), time.Hour)
			So(err, ShouldBeNil)
			So(pair.Save(dir, identity.VM), ShouldBeNil)
			now = now.Add(2 * checkInterval)
			So(keys.load().certificate.Leaf.SerialNumber.Cmp(before), ShouldNotEqual, 0)
			So(keys.LastError(), ShouldBeNil)
		})
		Convey("unreadable files keep the keys in use and are reported", func() {
			So(Pair{CertPEM: []byte("half"), KeyPEM: []byte("half")}.Save(dir, identity.VM), ShouldBeNil)
			now = now.Add(2 * checkInterval)
			So(keys.load().certificate.Leaf.SerialNumber.Cmp(before), ShouldEqual, 0)
			So(keys.LastError(), ShouldNotBeNil)
		})
	})
}
