package hosted

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a stand-in that crashes on requests which merely share their path, caller or
// body with a deadly one, or that survives a deadly one: tests of blocks would then prove nothing.
func TestWorkerCrashesOnAWholeRequest(t *testing.T) {
	Convey("Given a plain worker that crashes on a whole request", t, func() {
		w := &Worker{ID: "w"}
		trigger := CrashOnRequest("/book/a%2Fb", "ws", "two seats")
		ended := 0
		w.CrashOn(func() { ended++ }, trigger)
		// send returns the status, or zero when the worker crashes.
		send := func(target, workspace string, body io.Reader) (status int) {
			request := httptest.NewRequest(http.MethodPost, target, body)
			request.Header.Set("X-Laburnumgw-Expect-Instance", "w")
			request.Header.Set("X-Laburnumgw-Request-Id", "r")
			request.Header.Set("X-Laburnumgw-Tenant", workspace)
			response := httptest.NewRecorder()
			defer func() {
				if cause := recover(); cause != nil {
					So(cause, ShouldEqual, http.ErrAbortHandler)
					status = 0
				}
			}()
			w.ServeHTTP(response, request)
			return response.Code
		}
		deadlyBody := func() io.Reader { return strings.NewReader("two seats") }

		Convey("requests that differ in one of them are served", func() {
			So(send("/book/a/b", "ws", deadlyBody()), ShouldEqual, http.StatusOK)
			So(send("/book/a%2Fb", "other", deadlyBody()), ShouldEqual, http.StatusOK)
			So(send("/book/a%2Fb", "ws", strings.NewReader("one seat")), ShouldEqual, http.StatusOK)
			So(trigger.Arrivals(), ShouldBeEmpty)
			So(ended, ShouldEqual, 0)
		})
		Convey("it crashes on each such request, with a length or in chunks", func() {
			So(send("/book/a%2Fb", "ws", deadlyBody()), ShouldEqual, 0)
			w.Recover()
			So(send("/book/a%2Fb?again", "ws", io.MultiReader(deadlyBody())), ShouldEqual, 0)
			So(len(trigger.Arrivals()), ShouldEqual, 2)
			So(len(trigger.Crashes()), ShouldEqual, 2)
			So(ended, ShouldEqual, 2)
			So(w.Runs("r"), ShouldEqual, 2)
		})
		Convey("it runs nothing until it has recovered, and crashes once", func() {
			So(send("/book/a%2Fb", "ws", deadlyBody()), ShouldEqual, 0)
			So(send("/book/a%2Fb", "ws", deadlyBody()), ShouldEqual, 0)
			So(send("/book/x", "ws", nil), ShouldEqual, 0)
			So(len(trigger.Crashes()), ShouldEqual, 1)
			So(w.Runs("r"), ShouldEqual, 1)
			w.Recover()
			So(send("/book/x", "ws", nil), ShouldEqual, http.StatusOK)
		})
		Convey("a share of the requests survives", func() {
			trigger.Surviving(0.5)
			const requests, least, most = 200, 70, 130
			survived := 0
			for range requests {
				if send("/book/a%2Fb", "ws", deadlyBody()) == http.StatusOK {
					survived++
				}
				w.Recover()
			}
			So(survived, ShouldBeBetween, least, most)
			So(len(trigger.Arrivals()), ShouldEqual, requests)
			So(len(trigger.Crashes()), ShouldEqual, requests-survived)
		})
	})
}

// Guards against workers that count what triggers they have in common apart, so that a bound over
// all of them is not checked.
func TestWorkersShareTriggers(t *testing.T) {
	Convey("Given two model workers that crash on a part and on a whole request", t, func() {
		part, whole := CrashOnPart("dead"), CrashOnRequest("/chat/x", "ws", "")
		send := func(w *Worker, target, deadly string) {
			request := httptest.NewRequest(http.MethodPost, target, nil)
			SetRequestHeaders(request.Header, "r", "key", "1000", "1,1", "aa", deadly)
			request.Header.Set("X-Laburnumgw-Expect-Instance", w.ID)
			request.Header.Set("X-Laburnumgw-Tenant", "ws")
			defer func() { So(recover(), ShouldEqual, http.ErrAbortHandler) }()
			w.ServeHTTP(httptest.NewRecorder(), request)
		}
		workers := []*Worker{{ID: "a", Model: Model{Name: "m"}, Events: 1}, {ID: "b", Model: Model{Name: "m"}, Events: 1}}
		for _, w := range workers {
			w.Load(1)
			w.CrashOn(w.Recover, part, whole)
			send(w, "/chat/y", "dead")
			send(w, "/chat/x", "sound")
		}
		So(len(part.Crashes()), ShouldEqual, 2)
		So(len(whole.Crashes()), ShouldEqual, 2)
		So(workers[0].Version(), ShouldEqual, 0)
	})
}
