package report

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/errkind"
)

func testRun() []Sample {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var samples []Sample
	for i := range 5 {
		samples = append(samples, Sample{
			Time: start.Add(time.Duration(i) * time.Second), Complete: map[string]int{"rota@1": i},
			OriginBytes: int64(i) * megabyte, ServingByZone: map[string]int{"a": 3, "b": i},
			Requests: map[string]float64{"complete": float64(10 * i)}, P99Seconds: 0.1,
		})
	}
	return samples
}

// Guards against empty plots, and against a wrong rate after a restart of an entry.
func TestDraw(t *testing.T) {
	Convey("A recorded run is read back and drawn", t, func() {
		var file bytes.Buffer
		for _, sample := range testRun() {
			So(Write(&file, sample), ShouldBeNil)
		}
		samples, err := Read(&file)
		So(err, ShouldBeNil)
		So(samples, ShouldResemble, testRun())
		names, err := Draw(samples, t.TempDir())
		So(err, ShouldBeNil)
		So(names, ShouldHaveLength, 5)
		for _, name := range names {
			content, err := os.ReadFile(name)
			So(err, ShouldBeNil)
			So(string(content), ShouldContainSubstring, "<svg")
			So(strings.Count(string(content), "<path"), ShouldBeGreaterThan, 2)
		}
	})
	Convey("A counter that decreases gives a rate of zero", t, func() {
		samples := testRun()
		samples[3].Requests = map[string]float64{"complete": 0}
		curve := rates(samples)[0]
		So(curve.points[1].Y, ShouldEqual, 10)
		So(curve.points[2].Y, ShouldEqual, 0)
	})
	Convey("Malformed, unordered and empty runs are refused", t, func() {
		for _, text := range []string{"", "{", `{"time":"2026-01-02T00:00:00Z"}` + "\n" + `{"time":"2026-01-01T00:00:00Z"}`} {
			_, err := Read(strings.NewReader(text))
			So(errkind.Of(err), ShouldEqual, errkind.Invalid)
		}
	})
}
