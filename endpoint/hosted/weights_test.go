package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/loadproof"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rollout"
	"laburnumgw/lib/rpc"
	"laburnumgw/platform"
	"laburnumgw/standin/hosted"
)

var testModel = hosted.Model{Name: "m", Chunks: 6, ChunkBytes: 1024, Layers: 4}

// testSite is a library with stand-ins for its worker and for the origin.
type testSite struct {
	library *library
	view    *view
	worker  *hosted.Worker
	origin  *hosted.Origin
	// corruptManifests is the number of manifests that the origin corrupts next, and
	// manifestRequests counts its manifest requests.
	corruptManifests atomic.Int32
	manifestRequests atomic.Int32
}

func newSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{worker: &hosted.Worker{ID: "w", Model: testModel}}
	origin := &hosted.Origin{Model: testModel, Newest: 1}
	s.origin = origin
	originServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "manifest") {
			origin.ServeHTTP(w, r)
			return
		}
		s.manifestRequests.Add(1)
		recorder := httptest.NewRecorder()
		origin.ServeHTTP(recorder, r)
		body := recorder.Body.String()
		if left := s.corruptManifests.Add(-1); left >= 0 {
			// Each corrupt manifest has different wrong digits.
			at := strings.Index(body, `"digests":["`) + len(`"digests":["`)
			body = body[:at] + fmt.Sprintf("%02x", left) + body[at+2:]
		}
		fmt.Fprint(w, body)
	}))
	t.Cleanup(originServer.Close)
	workerServer := httptest.NewServer(s.worker)
	t.Cleanup(workerServer.Close)
	address := strings.TrimPrefix(workerServer.URL, "http://")
	settings := &platform.Settings{
		VM: "side-1", IP: "127.0.0.1", Zone: "a", Region: "r", Zones: map[string]string{"a": "r"}, FirstPort: 7700,
		Worker: address, Service: "llm", LinkMbit: 100,
	}
	s.view = newView(settings, zap.NewNop())
	config := fmt.Sprintf(`{"version":1,"services":[{"name":"llm","engine":{"layers":4,"chunks":6,"chunk_bytes":1024,"models":[{"name":"m"}]}},`+
		`{"name":"w","origin":%q,"zone":"a","link_mbps":100}]}`, strings.TrimPrefix(originServer.URL, "http://"))
	s.put(platform.KindConfig, "main", config)
	s.library = newLibrary(s.view, platform.NewWorker(address), rpc.NewPlainPool(), metrics.NewSet(), zap.NewNop())
	return s
}

func (s *testSite) put(kind, name, value string) {
	s.view.applyChanges(kind, []mirror.Change{{Object: mirror.Object{Name: name, Revision: 1, Value: json.RawMessage(value)}}})
}

// Guards against a worker that loads damaged weights: a staged chunk that has become corrupt is
// not accepted after a start, and every chunk is written again before a load order.
func TestCorruptStagedChunksAreReplaced(t *testing.T) {
	Convey("Given a worker that has restarted, with version 1 staged, and a corrupt staged chunk", t, func() {
		s := newSite(t)
		s.worker.Load(1)
		s.worker.Crash()
		own := platform.NewWorker(s.view.settings.Worker)
		ctx := context.Background()
		conn, err := own.OpenStaging(ctx)
		So(err, ShouldBeNil)
		Reset(conn.Close)
		So(conn.Write(ctx, "m", 2, []byte("rot")), ShouldBeNil)

		opened, err := s.library.open(ctx, "m", 1)
		So(err, ShouldBeNil)
		Reset(opened.distribution.Stop)

		Convey("the chunk is fetched, and the worker loads the complete version", func() {
			<-opened.distribution.Completed()
			report, err := own.Report(ctx)
			So(err, ShouldBeNil)
			stager := newStager(own, metrics.NewSet(), zap.NewNop())
			So(stager.stage(ctx, opened, loadproof.Range{To: testModel.Chunks}), ShouldBeNil)
			result, err := own.LoadStaged(ctx, "m", 1, platform.LayerRange{}, report.Sequence)
			So(err, ShouldBeNil)
			So(result, ShouldEqual, platform.OrderStarted)
			So(s.worker.Err(), ShouldBeNil)

			Convey("and an order for an earlier state is refused", func() {
				result, err := own.LoadStaged(ctx, "m", 1, platform.LayerRange{}, report.Sequence)
				So(err, ShouldNotBeNil)
				So(result, ShouldEqual, platform.OrderRefused)
			})
		})
	})
}

// Guards against a manifest that the origin has corrupted: chunks would be verified against
// wrong digests.
func TestManifestIsReadUntilTwoAgree(t *testing.T) {
	Convey("One corrupt manifest causes three reads; the read fails if all are corrupt", t, func() {
		s := newSite(t)
		s.corruptManifests.Store(1)
		manifest, number, err := s.library.readManifest(context.Background(), "m", 1)
		So(err, ShouldBeNil)
		So(number, ShouldEqual, 1)
		So(manifest.Verify(0, testModel.Chunk(1, 0)), ShouldBeNil)
		So(s.manifestRequests.Load(), ShouldEqual, 3)
		s.corruptManifests.Store(maxManifestReads)
		_, _, err = s.library.readManifest(context.Background(), "m", 1)
		So(err, ShouldNotBeNil)
	})
}

// Guards against processes that all read the origin, which handles 48 connections.
func TestManifestsAreServedToPeers(t *testing.T) {
	Convey("A process serves only the manifests that it has read", t, func() {
		s := newSite(t)
		server := &manifestServer{library: s.library}
		ask := func(version int32) (*laburnumgwv1.GetManifestResponse, error) {
			return server.GetManifest(context.Background(), &laburnumgwv1.GetManifestRequest{Model: "m", Version: version})
		}
		_, err := ask(0)
		So(status.Code(err), ShouldEqual, codes.NotFound)
		opened, err := s.library.open(context.Background(), "m", 1)
		So(err, ShouldBeNil)
		Reset(opened.distribution.Stop)
		for _, version := range []int32{0, 1} {
			response, err := ask(version)
			So(err, ShouldBeNil)
			So(response.GetVersion(), ShouldEqual, 1)
			So(response.GetDigests(), ShouldHaveLength, testModel.Chunks)
		}
		_, err = ask(2)
		So(status.Code(err), ShouldEqual, codes.NotFound)
	})
	Convey("The ranking contains all VMs of a region and does not change between calls", t, func() {
		s := newSite(t)
		for i := range 40 {
			s.put(platform.KindWorkers, fmt.Sprint("i-", i), fmt.Sprintf(
				`{"service":"llm","address":"10.0.0.%d:1","zone":"a","state":"ready"}`, i+1))
		}
		So(s.library.rankedVMs("m", 1), ShouldHaveLength, 41)
		So(s.library.rankedVMs("m", 1), ShouldResemble, s.library.rankedVMs("m", 1))
	})
}

// Guards against an endpoint process that fetches weights together with VMs of another
// service, or that mirrors from entries of other zones first.
func TestViewOfTheDeployment(t *testing.T) {
	Convey("Workers of other services and malformed objects are ignored", t, func() {
		s := newSite(t)
		s.put(platform.KindWorkers, "i-1", `{"service":"llm","address":"10.0.0.1:1","zone":"a","state":"ready"}`)
		s.put(platform.KindWorkers, "i-2", `{"service":"desk","address":"10.0.0.2:1","zone":"a","state":"ready"}`)
		s.put(platform.KindWorkers, "i-3", `{"service":"llm","address":5}`)
		So(s.view.assignments(), ShouldHaveLength, 2)
		s.put(platform.KindEntries, "front-1", `{"zone":"a","address":"10.0.1.1:7700"}`)
		s.put(platform.KindEntries, "front-2", `{"zone":"b","address":"10.0.1.2:7700"}`)
		near, far := s.view.entryAddresses()
		So(near, ShouldResemble, []string{"10.0.1.1:7700"})
		So(far, ShouldResemble, []string{"10.0.1.2:7700"})
		So(s.view.neighbours()[0], ShouldEqual, "10.0.1.1:7700")
	})
	Convey("Versions never go back", t, func() {
		s := newSite(t)
		s.put(platform.KindVersions, "m", `{"model":"m","version":3}`)
		s.put(platform.KindVersions, "m", `{"model":"m","version":2}`)
		So(s.view.newestNamed("m").number, ShouldEqual, 3)
	})
}

// Guards against two versions that share the links because both became known at the end of an
// outage: each worker fetched both at once, and had the newer one after 5 s instead of 3 s.
func TestVersionNamedTogetherWithANewerOneIsNotFetched(t *testing.T) {
	for _, c := range []struct {
		interval time.Duration
		kept     int
		older    string
	}{{100 * time.Millisecond, 1, "dropped"}, {2 * time.Second, 2, "kept"}} {
		t.Run(c.older, func(t *testing.T) {
			s := newSite(t)
			p := &Process{
				log: zap.NewNop(), view: s.view, library: s.library, openBackoff: newOpenBackoff(), rolloutSettings: rollout.DefaultSettings(8 * time.Second),
			}
			firstNamed := time.Now()
			s.origin.SetNewest(2)
			for number := 1; number <= 2; number++ {
				opened, err := s.library.open(t.Context(), testModel.Name, number)
				if err != nil {
					t.Fatal(err)
				}
				p.finishOpen(openResult{version: opened, requested: namedVersion{number: number, namedAt: firstNamed.Add(time.Duration(number) * c.interval)}})
			}
			if len(p.targets) != c.kept || p.newest().version.number != 2 {
				t.Errorf("%d versions are fetched, want %d", len(p.targets), c.kept)
			}
			t.Cleanup(p.newest().version.distribution.Stop)
			if held := s.library.get(1) != nil; held != (c.kept == 2) {
				t.Errorf("the older version is served: %v, want %v", held, c.kept == 2)
			}
		})
	}
}
