package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"laburnumgw/standin/hosted"
)

// Guards against a check of lost requests and of repeats that passes on every run, or that counts
// what a fault explains.
func TestAnswerCheckFails(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	fault := []window{{start.Add(-time.Second), start}}
	for name, c := range map[string]struct {
		faults []window
		err    error
		status int
		took   time.Duration
		runs   int
		deadly bool
		want   int
		// drawn is set when longer silences are drawn.
		drawn bool
		pause hosted.Pause
	}{
		"a complete answer":                         {nil, nil, 200, time.Second, 1, false, 0, false, hosted.Pause{}},
		"a refusal":                                 {nil, nil, 503, time.Second, 0, false, 0, false, hosted.Pause{}},
		"a stream that is cut":                      {nil, io.ErrUnexpectedEOF, 200, time.Second, 1, false, 1, false, hosted.Pause{}},
		"a stream that is cut after a fault":        {fault, io.ErrUnexpectedEOF, 200, time.Second, 1, false, 0, false, hosted.Pause{}},
		"no answer to a request that was forwarded": {nil, io.EOF, 0, 10 * time.Millisecond, 1, false, 1, false, hosted.Pause{}},
		"no answer to a request that was read":      {nil, io.EOF, 0, time.Second, 0, false, 1, false, hosted.Pause{}},
		"a close that crosses the request":          {nil, io.EOF, 0, 10 * time.Millisecond, 0, false, 0, false, hosted.Pause{}},
		"a refused connection of a restarted entry": {nil, syscall.ECONNREFUSED, 0, time.Second, 0, false, 0, false, hosted.Pause{}},
		"two runs":                            {nil, nil, 200, time.Second, 2, false, 1, false, hosted.Pause{}},
		"two runs after a fault":              {fault, nil, 200, time.Second, 2, false, 0, false, hosted.Pause{}},
		"two runs and a cut":                  {nil, io.ErrUnexpectedEOF, 200, time.Second, 2, false, 2, false, hosted.Pause{}},
		"a cut stream with the deadly part":   {nil, io.ErrUnexpectedEOF, 200, time.Second, 1, true, 0, false, hosted.Pause{}},
		"a stream that is cut amid a silence": {nil, io.ErrUnexpectedEOF, 200, 3 * time.Second, 1, false, 1, true, hosted.Pause{Observed: 2 * time.Second, Meant: eventTimeout}},
		"a stream that is cut amid a silence that outlasts callers":   {nil, io.ErrUnexpectedEOF, 200, 3 * time.Second, 1, false, 0, true, hosted.Pause{Observed: 2 * time.Second, Meant: 3 * time.Second}},
		"a stream that is cut at the end of its time after a silence": {nil, io.ErrUnexpectedEOF, 200, minChatTimeout, 1, false, 0, true, hosted.Pause{Observed: 2 * time.Second, Meant: 2 * time.Second}},
		"two runs, and a pause within the patience":                   {nil, nil, 200, 3 * time.Second, 2, false, 1, true, hosted.Pause{Observed: patience, Meant: 3 * time.Second}},
		"two runs after a silence":                                    {nil, nil, 200, 3 * time.Second, 2, false, 0, true, hosted.Pause{Observed: 2 * time.Second}},
		"three runs after a silence":                                  {nil, nil, 200, 3 * time.Second, 3, false, 1, true, hosted.Pause{Observed: 2 * time.Second}},
		"two runs after a pause that was not drawn":                   {nil, nil, 200, 3 * time.Second, 2, false, 1, false, hosted.Pause{Observed: 2 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			r := &run{fleet: &Fleet{}, pauses: map[string]hosted.Pause{"r": c.pause}, faultWindows: c.faults, plannedRestarts: map[string][]window{"front-0": {{start, start.Add(time.Second)}}}}
			outcome := Outcome{ID: "r", Entry: "front-0", Sent: start, Ended: start.Add(c.took), Status: c.status, Err: c.err, Deadly: c.deadly}
			if c.drawn {
				r.fleet.SilenceMax = 3 * time.Second
			}
			violations := 0
			r.checkAnswers([]Outcome{outcome}, func(string) int { return c.runs }, func(string, ...any) { violations++ })
			if violations != c.want {
				t.Errorf("%d violations, want %d", violations, c.want)
			}
		})
	}
}

// Guards against a check that takes any second run for that of a stream which its entry had to give up at the bound of its
// weights.
func TestSecondRunIsAllowedAfterAGiveUpAtTheBoundAlone(t *testing.T) {
	start := time.Unix(1_000_000, 0).UTC()
	const id = "1-chat-0-7"
	line := func(message, entry, weights string, after time.Duration) string {
		return fmt.Sprintf(`{"level":"warn","ts":%q,"msg":%q,"node":%q,"request":%q,"vm":"m-1","weights":%q,"report_age":3,"waited":825}`+"\n",
			start.Add(after).Format(time.RFC3339Nano), message, entry, id, weights)
	}
	givenUp := line(giveUpMessage, "front-0", "1", time.Second)
	for name, c := range map[string]struct {
		log, kind string
		runs      int
		bound     time.Duration // of version 2, after the start
		want      int
		second    time.Duration // when the second run arrived, if not after the first was given up
		worker    string        // that of the first run, if not the one that was given up
		dropped   bool          // the first worker dropped its run before it began
	}{
		"given up shortly before the bound":    {givenUp, kindChat, 2, 1300 * time.Millisecond, 0, 0, "", false},
		"not given up":                         {line("attempt ended", "front-0", "1", time.Second), kindChat, 2, 1300 * time.Millisecond, 1, 0, "", false},
		"three runs":                           {givenUp, kindChat, 3, 1300 * time.Millisecond, 1, 0, "", false},
		"given up twice":                       {givenUp + givenUp, kindChat, 2, 1300 * time.Millisecond, 1, 0, "", false},
		"given up by another entry":            {line(giveUpMessage, "front-1", "1", time.Second), kindChat, 2, 1300 * time.Millisecond, 1, 0, "", false},
		"given up before it was sent":          {line(giveUpMessage, "front-0", "1", -time.Millisecond), kindChat, 2, 1300 * time.Millisecond, 1, 0, "", false},
		"given up after its end":               {line(giveUpMessage, "front-0", "1", 3*time.Second), kindChat, 2, 3300 * time.Millisecond, 1, 3010 * time.Millisecond, "", false},
		"given up on newer weights":            {line(giveUpMessage, "front-0", "2", time.Second), kindChat, 2, 1300 * time.Millisecond, 1, 0, "", false},
		"given up long before the bound":       {givenUp, kindChat, 2, time.Second + maxGiveUpMargin + time.Millisecond, 1, 0, "", false},
		"given up after the bound":             {givenUp, kindChat, 2, 999 * time.Millisecond, 1, 0, "", false},
		"a request that must not be run twice": {givenUp, kindBook, 2, 1300 * time.Millisecond, 1, 0, "", false},
		"the second run was given up":          {givenUp, kindChat, 2, 1300 * time.Millisecond, 1, 500 * time.Millisecond, "", false},
		"the first run was at another worker":  {givenUp, kindChat, 2, 1300 * time.Millisecond, 1, 0, "m-2", false},
		"given up and dropped":                 {givenUp, kindChat, 2, 1300 * time.Millisecond, 0, 0, "", true},
		"dropped elsewhere":                    {givenUp, kindChat, 2, 1300 * time.Millisecond, 1, 0, "m-2", true},
	} {
		t.Run(name, func(t *testing.T) {
			giveUps, err := readGiveUps(strings.NewReader("not a line of a log\n" + c.log))
			if err != nil {
				t.Fatal(err)
			}
			arrivals := []arrival{{cmp.Or(c.worker, "m-1"), start.Add(time.Millisecond)}, {"m-3", start.Add(cmp.Or(c.second, 1010*time.Millisecond))}}
			if c.dropped {
				arrivals[0].at = time.Time{}
			}
			r := &run{fleet: &Fleet{}, giveUps: map[string][]giveUp{id: giveUps}, arrivals: map[string][]arrival{id: arrivals}, namings: []naming{{1, start.Add(-time.Hour)}, {2, start.Add(c.bound - versionBound)}}}
			violations := 0
			r.checkAnswers([]Outcome{{ID: id, Kind: c.kind, Entry: "front-0", Sent: start, Ended: start.Add(2 * time.Second), Status: http.StatusOK}},
				func(string) int { return c.runs }, func(string, ...any) { violations++ })
			if violations != c.want {
				t.Errorf("%d violations, want %d", violations, c.want)
			}
		})
	}
}

// Guards against an entry that starts after a planned restart and counts as failing before the
// platform would send it callers, and against one that is excused once it is ready.
func TestStartingEntryDoesNotCount(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	r := &run{fleet: &Fleet{}, starts: map[string][]window{"front-0": {{start, start.Add(time.Second)}}}}
	for after, counted := range map[time.Duration]int{-time.Millisecond: 1, 0: 0, 999 * time.Millisecond: 0, time.Second: 1} {
		outcome := Outcome{Entry: "front-0", Sent: start.Add(after), Ended: start.Add(after), Status: http.StatusServiceUnavailable}
		if total, _ := r.countFaultFree([]Outcome{outcome}); total != counted {
			t.Errorf("sent %s after the start: counted %d, want %d", after, total, counted)
		}
	}
}

// Guards against draws that leave a kind of change out, or that alter the settings of an earlier
// version of the configuration.
func TestChangesOfTheConfiguration(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 7))
	first := newSettings()
	config := func(s settings) string {
		f := &Fleet{Options: Options{Model: SmallModel()}, settings: s}
		return fmt.Sprint(f.Config(1, "origin"))
	}
	before := config(first)
	drawn := make(map[string]bool)
	for range 200 {
		next, _ := first.change(rng)
		drawn["timeout"] = drawn["timeout"] || next.plainTimeout != first.plainTimeout
		drawn["chat timeout"] = drawn["chat timeout"] || next.chatTimeout != first.chatTimeout
		drawn["idle timeout"] = drawn["idle timeout"] || next.idleTimeout != first.idleTimeout
		drawn["workspace"] = drawn["workspace"] || next.workspaces != first.workspaces
		for name, b := range next.plainRoutes {
			drawn[name+" moved"] = drawn[name+" moved"] || b.service == annexService
			drawn[name+" split"] = drawn[name+" split"] || b.annexShare > 0
		}
		if fmt.Sprint(next) != fmt.Sprint(first) && config(next) == before {
			t.Errorf("settings %v are not in the configuration", next)
		}
		if config(first) != before {
			t.Fatalf("settings %v altered those that they came from", next)
		}
	}
	for kind, was := range drawn {
		if !was {
			t.Errorf("no change drawn: %s", kind)
		}
	}
}
