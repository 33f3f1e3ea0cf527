package hosted

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a stand-in that runs requests for other weights, which a worker of the
// platform refuses. The soak would then report a stream of two versions as a fault of the daemon.
func TestWorkerRefusesOtherWeights(t *testing.T) {
	Convey("Given a worker that holds version 2", t, func() {
		w := &Worker{ID: "w", Model: Model{Name: "m", Chunks: 1, ChunkBytes: 8, Layers: 1}, Events: 2}
		w.Load(2)
		send := func(version string) *httptest.ResponseRecorder {
			request := httptest.NewRequest(http.MethodPost, "/chat/x", nil)
			request.Header.Set("X-Laburnumgw-Request-Id", "r")
			request.Header.Set("X-Laburnumgw-Expect-Instance", "w")
			if version != "" {
				request.Header.Set("X-Laburnumgw-Expect-Version", version)
			}
			response := httptest.NewRecorder()
			w.ServeHTTP(response, request)
			return response
		}

		Convey("a request for version 1 is refused and does not run", func() {
			So(send("1").Code, ShouldEqual, http.StatusMisdirectedRequest)
			So(w.Runs("r"), ShouldEqual, 0)
		})
		Convey("requests for version 2 and without a version run", func() {
			So(send("2").Code, ShouldEqual, http.StatusOK)
			So(send("").Code, ShouldEqual, http.StatusOK)
			So(w.Runs("r"), ShouldEqual, 2)
		})
	})
}
