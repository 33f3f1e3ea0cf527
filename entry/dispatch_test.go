package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/membudget"
)

type frame = laburnumgwv1.ServeResponse

func headerFrame(contentType, digest string) *frame {
	return &frame{Frame: &laburnumgwv1.ServeResponse_Header{Header: &laburnumgwv1.Header{HttpStatus: 200, ContentType: contentType, VersionDigest: digest}}}
}

func dataFrame(text string) *frame {
	return &frame{Frame: &laburnumgwv1.ServeResponse_Data{Data: []byte(text)}}
}

func finalFrame(payload string) *frame {
	return &frame{Frame: &laburnumgwv1.ServeResponse_Final{Final: &laburnumgwv1.Final{
		Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, TotalBytes: int64(len(payload)), Checksum: xxhash.Sum64String(payload),
	}}}
}

func receiveAll(x *exchange, frames ...*frame) (*laburnumgwv1.Final, error) {
	for _, f := range frames {
		if final, err := x.receive(f); final != nil || err != nil {
			return final, err
		}
	}
	return nil, errIncomplete
}

func newExchange(out responder) *exchange {
	return &exchange{request: &request{id: "r"}, number: 1, out: out, sum: xxhash.New(), onLoad: func(*laburnumgwv1.Load) {}}
}

// Guards against delivering a response with lost, duplicated or reordered parts.
func TestOnlyWholeResponsesAreCompleted(t *testing.T) {
	Convey("Given a caller", t, func() {
		recorder := httptest.NewRecorder()
		out := &httpResponder{w: recorder, id: "r", limit: maxResponseBytes, started: time.Now(), metrics: newEntryMetrics(), held: membudget.ForProcess(0).Open()}
		x := newExchange(out)
		json := headerFrame("application/json", "")

		Convey("a complete response is sent", func() {
			_, err := receiveAll(x, json, dataFrame("ab"), dataFrame("cd"), finalFrame("abcd"))
			So(err, ShouldBeNil)
			So(recorder.Body.String(), ShouldEqual, "abcd")
		})
		Convey("a lost, duplicated or reordered part leaves the response incomplete and unsent", func() {
			for _, parts := range [][]string{{"ab"}, {"ab", "ab", "cd"}, {"cd", "ab"}} {
				out.buffered = nil
				x = newExchange(out)
				frames := []*frame{json}
				for _, part := range parts {
					frames = append(frames, dataFrame(part))
				}
				_, err := receiveAll(x, append(frames, finalFrame("abcd"))...)
				So(err, ShouldEqual, errIncomplete)
				So(x.result(nil, err, true).Outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_UNKNOWN)
			}
			So(recorder.Body.Len(), ShouldEqual, 0)
		})
		Convey("the last event of a stream is sent only after the final frame is checked, and another version cannot resume the stream", func() {
			stream := headerFrame("text/event-stream", "v1")
			_, err := receiveAll(x, stream, dataFrame("data: 1\n\n"), dataFrame("data: [DONE]\n\n"))
			So(err, ShouldEqual, errIncomplete)
			So(recorder.Body.String(), ShouldEqual, "data: 1\n\n")
			_, tokens := out.relayedCounts()
			So(tokens, ShouldEqual, 1)
			_, err = receiveAll(newExchange(out), headerFrame("text/event-stream", "v2"))
			So(err, ShouldEqual, errVersionChanged)
			resumed := "data: 2\n\ndata: [DONE]\n\n"
			_, err = receiveAll(newExchange(out), stream, dataFrame("data: 2\n\n"), dataFrame("data: [DONE]\n\n"), finalFrame(resumed))
			So(err, ShouldBeNil)
			So(recorder.Body.String(), ShouldEqual, "data: 1\n\n"+resumed)
		})
	})
}
