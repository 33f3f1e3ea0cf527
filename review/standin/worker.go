//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// warmTime is how long a model worker takes to load.
	warmTime = 300 * time.Millisecond
	// recentRot is how long a piece may have been bad when its layer is taken.
	recentRot = 3 * time.Second
)

// modelWorker is a model worker. It answers one request at a time on a connection.
type modelWorker struct {
	id, zone, address string
	record            *record
	// events is the number of events of a stream, one each gap.
	events int
	gap    time.Duration
	// storeTime is how long the worker takes to store a piece.
	storeTime time.Duration
	// repeats reports whether the answer to the staging of a piece is written once more, where the next one is due.
	repeats func(piece int) bool
	// beforeStore is called before a piece is stored.
	beforeStore func(piece int)
	// madeToken is called for each token, and begunUnmarked for each stream that has neither a length nor chunks.
	madeToken     func(id string, event int)
	begunUnmarked func(id string)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	// version is that of the loaded layers, zero without any.
	version  int
	sequence int
	busy     bool
	running  int
	leaving  bool
	// unmarked is how many of the next streams have neither a length nor chunks.
	unmarked int
	staged   map[int][]byte
	rotten   map[int]time.Time
	// bad describes the pieces that were not whole when the loaded layers were taken.
	bad    []string
	tokens int
	// badTokens counts the tokens that were made with such layers.
	badTokens int
}

// errConnectionEnds ends the connection after a response that has no other end.
var errConnectionEnds = errors.New("the response ends with its connection")

func newModelWorker(id, zone, address string, record *record) *modelWorker {
	w := &modelWorker{
		id: id, zone: zone, address: address, record: record, events: 8, gap: 20 * time.Millisecond, storeTime: 15 * time.Millisecond,
		repeats: func(int) bool { return false }, beforeStore: func(int) {}, madeToken: func(string, int) {}, begunUnmarked: func(string) {}, born: time.Now().UnixMilli(), version: 1,
		staged: make(map[int][]byte), rotten: make(map[int]time.Time), conns: make(map[net.Conn]bool),
	}
	for i := range chunks {
		w.staged[i] = model.Chunk(1, i)
	}
	return w
}

func (w *modelWorker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener = listener
	w.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go w.serve(conn)
		}
	}()
	return nil
}

// crash ends the worker and starts it again under its name after some time. Staged data survives, layers don't.
func (w *modelWorker) crash(down time.Duration) error {
	w.mu.Lock()
	w.listener.Close()
	for conn := range w.conns {
		conn.Close()
	}
	w.version, w.sequence, w.busy, w.bad, w.born = 0, 0, false, nil, 0
	w.mu.Unlock()
	w.record.write("%s has crashed", w.id)
	time.Sleep(down)
	w.mu.Lock()
	w.born = time.Now().UnixMilli()
	w.mu.Unlock()
	w.record.write("%s is back, without layers", w.id)
	return w.start()
}

// isUp reports whether the worker runs.
func (w *modelWorker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born != 0
}

// state is what the worker says of itself.
func (w *modelWorker) state() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := map[string]any{
		"born": w.born, "stage": "both", "models": []any{},
		"busy": w.busy, "sequence": w.sequence, "queued_requests": 0, "running_requests": w.running, "kv_cache_used": 0, "kv_cache_total": 90000, "handles": 0, "pace": 1.0,
	}
	if w.version > 0 {
		state["models"] = []any{map[string]any{"name": modelName, "version": w.version, "adapters": []string{}}}
		state["layers"] = map[string]any{"from": 0, "target": layers, "version": w.version}
	}
	return state
}

// entry is the worker's entry in the store.
func (w *modelWorker) entry() map[string]any {
	entry := w.state()
	for _, name := range []string{"busy", "queued_requests", "running_requests", "kv_cache_used", "kv_cache_total", "handles", "pace"} {
		delete(entry, name)
	}
	entry["service"], entry["address"], entry["zone"], entry["version"], entry["slots"], entry["state"], entry["cold_remaining_ms"] =
		modelSvc, w.address, w.zone, "v1", 16, "ready", 0
	return entry
}

func (w *modelWorker) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			_, _ = conn.Write(late) // the caller may have left
			late = nil
		}
		switch {
		case request.URL.Path == "/-/report":
			data, _ := json.Marshal(w.state())
			_, err = conn.Write(answer(http.StatusOK, data, "Content-Type", "application/json"))
		case request.URL.Path == "/-/order":
			_, err = conn.Write(answer(w.order(body), nil))
		case strings.HasPrefix(request.URL.Path, "/-/stage-put/"):
			piece, _ := strconv.Atoi(request.URL.Query().Get("item_count"))
			w.store(piece, body)
			text := answer(http.StatusOK, nil)
			_, err = conn.Write(text)
			if w.repeats(piece) {
				late = text
				w.record.write("%s will write its answer to the staging of piece %d once more", w.id, piece)
			}
		case strings.HasPrefix(request.URL.Path, "/-/stage-get/"):
			_, err = conn.Write(w.stagedPiece(request))
		case request.URL.Path == "/health":
			_, err = conn.Write(answer(http.StatusOK, nil, "X-Laburnumgw-Instance-Id", w.id))
		default:
			err = w.chat(conn, request)
		}
		if err != nil || request.Close {
			return
		}
	}
}

// answer returns the bytes of a response.
func answer(status int, body []byte, header ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", header[i], header[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

func (w *modelWorker) store(piece int, data []byte) {
	w.beforeStore(piece)
	time.Sleep(w.storeTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.staged[piece] = data
	delete(w.rotten, piece)
	if piece == 0 || piece == chunks-1 {
		w.record.write("%s has stored piece %d", w.id, piece)
	}
}

// rot turns a staged piece bad.
func (w *modelWorker) rot(piece int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	data := slices.Clone(w.staged[piece])
	data[len(data)/2] ^= 0x40
	w.staged[piece] = data
	w.rotten[piece] = time.Now()
	w.record.write("%s: piece %d has turned bad", w.id, piece)
}

func (w *modelWorker) stagedPiece(request *http.Request) []byte {
	piece, err := strconv.Atoi(request.URL.Query().Get("item_count"))
	w.mu.Lock()
	defer w.mu.Unlock()
	data, ok := w.staged[piece]
	if err != nil || !ok {
		return answer(http.StatusNotFound, nil)
	}
	return answer(http.StatusOK, data)
}

// order accepts an order to load the staged pieces as they are now.
func (w *modelWorker) order(body []byte) int {
	var order struct {
		Operation    string `json:"operation"`
		Version      int    `json:"version"`
		Precondition *int   `json:"precondition"`
	}
	if err := json.Unmarshal(body, &order); err != nil || order.Operation != "start" {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case order.Precondition != nil && *order.Precondition != w.sequence, w.busy:
		return http.StatusConflict
	case order.Version == w.version:
		return http.StatusOK
	}
	w.sequence++
	w.busy = true
	var bad []string
	for i := range chunks {
		if bytes.Equal(w.staged[i], model.Chunk(order.Version, i)) {
			continue
		}
		since, rotten := w.rotten[i]
		switch {
		case rotten && time.Since(since) < recentRot:
		case rotten:
			bad = append(bad, fmt.Sprintf("piece %d had been bad for %.2f s", i, time.Since(since).Seconds()))
		case bytes.Equal(w.staged[i], model.Chunk(w.version, i)):
			bad = append(bad, fmt.Sprintf("piece %d was of version %d", i, w.version))
		default:
			bad = append(bad, fmt.Sprintf("piece %d was not whole", i))
		}
	}
	w.record.write("%s accepts the order to load version %d, sequence %d; pieces that are not whole: %v", w.id, order.Version, w.sequence, bad)
	go w.load(order.Version, bad)
	return http.StatusAccepted
}

// load loads a version after what is running, without accepting anything new.
func (w *modelWorker) load(version int, bad []string) {
	w.mu.Lock()
	born := w.born
	w.mu.Unlock()
	for {
		w.mu.Lock()
		running := w.running
		w.mu.Unlock()
		if running == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(warmTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.born != born {
		return
	}
	w.version, w.bad, w.busy = version, bad, false
	w.record.write("%s has loaded version %d", w.id, version)
}

// chat runs a request and writes its stream.
func (w *modelWorker) chat(conn net.Conn, request *http.Request) error {
	id := request.Header.Get("X-Laburnumgw-Request-Id")
	if request.Header.Get("X-Laburnumgw-Expect-Instance") != w.id {
		_, err := conn.Write(answer(http.StatusMisdirectedRequest, nil, "X-Laburnumgw-Request-Id", id, "X-Laburnumgw-Instance-Id", w.id))
		return err
	}
	w.mu.Lock()
	expected := request.Header.Get("X-Laburnumgw-Expect-Version")
	status := 0
	switch {
	case expected != "" && expected != strconv.Itoa(w.version):
		status = http.StatusMisdirectedRequest
	case w.busy, w.version == 0:
		status = http.StatusServiceUnavailable
	default:
		w.running++
	}
	version, leaving, unmarked := w.version, w.leaving, w.unmarked > 0
	if status == 0 && unmarked {
		w.unmarked--
	}
	w.mu.Unlock()
	if status != 0 {
		_, err := conn.Write(answer(status, nil, "X-Laburnumgw-Request-Id", id, "X-Laburnumgw-Not-Executed", "1"))
		return err
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Laburnumgw-Request-Id: %s\r\nX-Laburnumgw-Server-Seal: seal-%s-%s\r\nX-Laburnumgw-Weight-Versions: %d\r\n"+
		"X-Laburnumgw-Instance-Load: 1,0,16\r\nContent-Type: text/event-stream\r\n", id, w.id, id, version)
	if leaving {
		head += "Server-Leaving: 1\r\n"
	}
	if unmarked {
		w.begunUnmarked(id)
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for event := after + 1; event <= w.events; event++ {
		time.Sleep(w.gap)
		w.makeToken(id, version)
		w.madeToken(id, event)
		data := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", event, event, id)
		if !unmarked {
			data = fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
		}
		if _, err := io.WriteString(conn, data); err != nil {
			return err
		}
	}
	if unmarked {
		return errConnectionEnds
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// makeToken makes a token with the loaded layers.
func (w *modelWorker) makeToken(id string, version int) {
	w.mu.Lock()
	w.tokens++
	bad := w.bad
	if len(bad) > 0 {
		w.badTokens++
	}
	first := w.badTokens == 1
	w.mu.Unlock()
	if len(bad) > 0 && first {
		w.record.breach("WHOLE: %s makes a token of request %s on version %d; when its layers were taken, %s", w.id, id, version, strings.Join(bad, ", "))
	}
}

func (w *modelWorker) counts() (tokens, badTokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tokens, w.badTokens
}
