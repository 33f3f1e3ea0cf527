package hosted

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var weightsModel = Model{Name: "m", Chunks: 6, ChunkBytes: 64, Layers: 4}

// call sends a call to a worker and returns the response.
func call(w *Worker, method, target string, body []byte) *httptest.ResponseRecorder {
	out := httptest.NewRecorder()
	w.ServeHTTP(out, httptest.NewRequest(method, target, bytes.NewReader(body)))
	return out
}

func stage(w *Worker, index int, data []byte) {
	call(w, http.MethodPut, fmt.Sprint("/-/stage-put/m?item_count=", index), data)
}

func stageAll(w *Worker, version int) {
	for i := range w.Model.Chunks {
		stage(w, i, w.Model.Chunk(version, i))
	}
}

// load sends a load order and returns the status of the response.
func load(w *Worker, version, sequence int, bounds string) int {
	text := fmt.Sprintf(`{"operation":"start","model":"m","version":%d,"switch_mode":"wait","precondition":%d%s}`, version, sequence, bounds)
	return call(w, http.MethodPost, "/-/order", []byte(text)).Code
}

// chat sends a request of a caller and returns the status of the response.
func chat(w *Worker, id string) int {
	request := httptest.NewRequest(http.MethodPost, "/chat/x", strings.NewReader("hello"))
	request.Header.Set("X-Laburnumgw-Request-Id", id)
	request.Header.Set("X-Laburnumgw-Expect-Instance", w.ID)
	out := httptest.NewRecorder()
	w.ServeHTTP(out, request)
	return out.Code
}

// Guards against a stand-in that takes damaged layers for whole ones, or whole ones for damaged: tests of the daemon
// would pass without a proof, or fail without a reason.
func TestWorkerKnowsWhichLayersItTookWhole(t *testing.T) {
	for name, c := range map[string]struct {
		before func(w *Worker)
		want   string
	}{
		"whole":                        {func(*Worker) {}, ""},
		"piece missing":                {func(w *Worker) { w.Crash(); delete(w.weights.staged, 5) }, "piece 5 missing"},
		"piece of the version before":  {func(w *Worker) { stage(w, 2, weightsModel.Chunk(1, 2)) }, "piece 2 of another version"},
		"piece cut off":                {func(w *Worker) { stage(w, 0, weightsModel.Chunk(2, 0)[:63]) }, "piece 0 of another version"},
		"piece spoilt for 3 s":         {func(w *Worker) { w.Spoil(3); <-time.After(recentRot) }, ""},
		"piece spoilt for over 3 s":    {func(w *Worker) { w.Spoil(3); <-time.After(recentRot + time.Millisecond) }, "piece 3 spoilt for 3.001s"},
		"older piece spoilt for 1 s":   {func(w *Worker) { stage(w, 3, weightsModel.Chunk(1, 3)); w.Spoil(3); <-time.After(time.Second) }, "piece 3 of another version"},
		"spoilt piece written anew":    {func(w *Worker) { w.Spoil(3); <-time.After(time.Minute); stage(w, 3, weightsModel.Chunk(2, 3)) }, ""},
		"written anew for a new start": {func(w *Worker) { w.Spoil(3); w.Crash(); stageAll(w, 2) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &Worker{ID: "w", Model: weightsModel, Events: 3}
				w.Load(1)
				stageAll(w, 2)
				c.before(w)
				if status := load(w, 2, 0, ""); status != http.StatusAccepted {
					t.Fatalf("order: status %d", status)
				}
				if err := w.RunErr(); err != nil {
					t.Errorf("a load alone counts as a run: %v", err)
				}
				if status := chat(w, "r"); status != http.StatusOK {
					t.Errorf("request: status %d", status)
				}
				for _, err := range []error{w.RunErr(), w.Err(), w.Loads()[0].Fault} {
					if (err == nil) != (c.want == "") || (err != nil && !strings.Contains(err.Error(), c.want)) {
						t.Errorf("%v, want %q", err, c.want)
					}
				}
				if runs := w.BadRuns(); c.want != "" && (len(runs) != 1 || runs[0].ID != "r" || runs[0].Tokens != 3) {
					t.Errorf("runs %+v", runs)
				}
				if w.Serves(2) != (c.want == "") {
					t.Errorf("serves version 2: %t", w.Serves(2))
				}
			})
		})
	}
}

// Guards against a stand-in that reads all pieces for a part of the layers, or loads layers anew that it keeps.
func TestWorkerLoadsRangesOfLayers(t *testing.T) {
	w := &Worker{ID: "w", Model: weightsModel, Events: 1}
	w.Load(1)
	w.Spoil(5)
	w.weights.staged[5] = piece{data: w.weights.staged[5].data}
	steps := []struct {
		version  int
		bounds   string
		status   int
		requests int
		fault    bool
	}{
		{1, "", http.StatusOK, http.StatusOK, false},
		{1, `,"from":0,"target":3`, http.StatusAccepted, http.StatusMisdirectedRequest, false},
		{1, `,"from":0,"target":3`, http.StatusOK, http.StatusMisdirectedRequest, false},
		{1, "", http.StatusAccepted, http.StatusOK, true}, // layer 3 needs pieces 4 and 5
		{1, `,"from":3,"target":4`, http.StatusAccepted, http.StatusMisdirectedRequest, true},
		{1, `,"from":0,"target":3`, http.StatusAccepted, http.StatusMisdirectedRequest, false},
		{2, `,"from":4,"target":4`, http.StatusBadRequest, http.StatusMisdirectedRequest, false},
		{2, `,"from":1,"target":5`, http.StatusBadRequest, http.StatusMisdirectedRequest, false},
		{2, "", http.StatusAccepted, http.StatusOK, true},
	}
	sequence := 0
	for i, s := range steps {
		if status := load(w, s.version, sequence+1, s.bounds); status != http.StatusConflict && s.status != http.StatusBadRequest {
			t.Errorf("step %d: status %d for another sequence", i, status)
		}
		if status := load(w, s.version, sequence, s.bounds); status != s.status {
			t.Errorf("step %d: status %d, want %d", i, status, s.status)
		}
		if s.status == http.StatusAccepted {
			sequence++
		}
		if status := chat(w, fmt.Sprint(i)); status != s.requests {
			t.Errorf("step %d: request got %d, want %d", i, status, s.requests)
		}
		if fault := w.weights.fault(); (fault != nil) != s.fault {
			t.Errorf("step %d: %v", i, fault)
		}
	}
	if first := w.Loads()[0]; first.Fault != nil || len(w.Loads()) != 5 {
		t.Errorf("loads %+v", w.Loads())
	}
}

// Guards against a stand-in that runs requests while it loads, or loads while they run.
func TestLoadWaitsForWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &Worker{ID: "w", Model: weightsModel, Events: 2, EventGap: time.Second, LoadTime: 4 * time.Second}
		w.Load(1)
		ended := make(chan int, 1)
		go func() { ended <- chat(w, "before") }()
		synctest.Wait()
		stageAll(w, 2)
		if status := load(w, 2, 0, ""); status != http.StatusAccepted {
			t.Fatalf("order: status %d", status)
		}
		at := func(after time.Duration, busy bool, version, status int) {
			t.Helper()
			<-time.After(after)
			state := w.state()
			if state["busy"] != busy || w.Version() != version {
				t.Errorf("busy %v, version %d, want %t, %d", state["busy"], w.Version(), busy, version)
			}
			if got := chat(w, "later"); got != status {
				t.Errorf("request got %d, want %d", got, status)
			}
		}
		at(time.Second, true, 1, http.StatusServiceUnavailable)
		if status := load(w, 3, 1, ""); status != http.StatusConflict {
			t.Errorf("order amid a load: status %d", status)
		}
		at(4900*time.Millisecond, true, 1, http.StatusServiceUnavailable)
		at(100*time.Millisecond, false, 2, http.StatusOK)
		if status := <-ended; status != http.StatusOK {
			t.Errorf("request before the load: status %d", status)
		}
		load(w, 2, 1, `,"from":0,"target":2`)
		if w.Serves(2) || w.state()["busy"] != false {
			t.Error("layers are dropped late or not at all")
		}
		load(w, 2, 2, "")
		at(time.Second, true, 2, http.StatusMisdirectedRequest)
		at(time.Second, false, 2, http.StatusOK)
		if load(w, 3, 3, ""); w.Serves(2) {
			t.Error("serves while it loads")
		}
		w.Crash()
		at(time.Hour, false, 0, http.StatusMisdirectedRequest)
	})
}

// Guards against a stand-in whose faults leave no trace, so that tests of them pass without any.
func TestFaultsOfCalls(t *testing.T) {
	start := func(t *testing.T, fault func(Call) CallFault) (*Worker, *http.Client, string) {
		w := &Worker{ID: "w", Model: weightsModel, Events: 1}
		w.Load(1)
		w.OnCall(fault)
		server := httptest.NewServer(w)
		t.Cleanup(server.Close)
		client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: 10 * time.Second}
		t.Cleanup(client.CloseIdleConnections)
		return w, client, server.URL
	}
	get := func(t *testing.T, client *http.Client, url string) (int, string) {
		response, err := client.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, string(text)
	}
	t.Run("repeated at the next call", func(t *testing.T) {
		repeated := false
		_, client, url := start(t, func(c Call) CallFault {
			if c.Kind != CallStaged || repeated {
				return CallFault{}
			}
			repeated = true
			return CallFault{Repeat: RepeatAtNextCall}
		})
		for i, want := range []int{0, 0} {
			if _, text := get(t, client, fmt.Sprint(url, "/-/stage-get/m?item_count=", i)); text != string(weightsModel.Chunk(1, want)) {
				t.Errorf("call %d: not piece %d", i, want)
			}
		}
	})
	t.Run("lost", func(t *testing.T) {
		w, client, url := start(t, func(c Call) CallFault { return CallFault{Lost: c.Kind == CallOrder} })
		stageAll(w, 2)
		order := `{"operation":"start","model":"m","version":2,"switch_mode":"wait","precondition":0}`
		if response, err := client.Post(url+"/-/order", "application/json", strings.NewReader(order)); err == nil {
			t.Errorf("order got status %d", response.StatusCode)
		}
		if !w.Serves(2) {
			t.Error("the order was not executed")
		}
	})
	t.Run("without end", func(t *testing.T) {
		for _, part := range []Endless{EndlessInHead, EndlessInBody} {
			_, client, url := start(t, func(Call) CallFault { return CallFault{Endless: part} })
			response, err := client.Get(url + "/-/report")
			if part == EndlessInHead {
				if err == nil {
					t.Error("a head without end has ended")
				}
				continue
			}
			if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20)); n < 1<<20 {
				t.Errorf("%d bytes: %v", n, err)
			}
			response.Body.Close()
		}
	})
	t.Run("late and closed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := &Worker{ID: "w", Model: weightsModel}
			w.Load(1)
			var stored sync.Map
			w.OnCall(func(c Call) CallFault {
				if _, again := stored.LoadOrStore(c.Piece, true); again {
					return CallFault{}
				}
				return CallFault{Late: 2 * time.Second, SpoiltAfter: time.Duration(c.Piece) * time.Second}
			})
			go stage(w, 0, weightsModel.Chunk(2, 0))
			go stage(w, 1, weightsModel.Chunk(2, 1))
			<-time.After(time.Second)
			stage(w, 0, weightsModel.Chunk(3, 0))
			<-time.After(time.Second)
			synctest.Wait()
			if _, data := w.staged(0); !bytes.Equal(data, weightsModel.Chunk(2, 0)) {
				t.Error("the late piece has not replaced the later one")
			}
			if _, data := w.staged(1); !bytes.Equal(data, weightsModel.Chunk(2, 1)) {
				t.Error("piece 1 is not stored")
			}
			<-time.After(1500 * time.Millisecond)
			if _, data := w.staged(1); bytes.Equal(data, weightsModel.Chunk(2, 1)) {
				t.Error("piece 1 has not turned bad")
			}
		})
	})
}
