package hosted

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"laburnumgw/lib/catalog"
	"laburnumgw/lib/linkbudget"
	"laburnumgw/lib/transfer"
	"laburnumgw/platform"
)

const (
	// linkShare is the share of the VM's link that weights with a bound get in any case. Requests go
	// directly to the worker over the same link and need little of it.
	linkShare = 0.85
	// usableShare is the share that all traffic together may take, so that none waits long, and chunkOverhead what packets and
	// frames add to a byte of a chunk.
	usableShare   = 0.97
	chunkOverhead = 0.03
	// linkInterval is the interval at which the rate of transfers follows the calls.
	linkInterval = 100 * time.Millisecond
	// longestCallSpan bounds the time for which one report tells the traffic of calls.
	longestCallSpan = 500 * time.Millisecond
	// minRateChange is the least change of the rate of transfers that is carried out, as a part of it.
	minRateChange = 0.01
)

// Bytes of calls on the way with the heads of packets: a stream event and what acknowledges it, the heads of a response and of
// a request, a token of a prompt, and a message to an entry beside its content.
const (
	eventBytes       = 160
	eventAckBytes    = 40
	responseBytes    = 1000
	requestBytes     = 1500
	promptTokenBytes = 4
	packetHeadBytes  = 48
)

// callTraffic estimates what the calls of a worker take of its VM's link, in bytes per second: they do not pass through this
// process. It is not known for an engine whose settings tell no times.
func callTraffic(engine *catalog.Engine, running int) (sent, received float64, ok bool) {
	pass, duration := engine.Pass().Seconds(), engine.Duration(0, 0).Seconds()
	if pass <= 0 || duration <= 0 {
		return 0, 0, false
	}
	events, begun := float64(running)/pass, float64(running)/duration
	return events*eventBytes + begun*responseBytes, events*eventAckBytes + begun*(requestBytes+promptTokenBytes*engine.MeanPromptTokens), true
}

// link lets the transfers of weights take what calls and messages leave of the VM's link.
type link struct {
	class    linkbudget.Class
	messages atomic.Int64

	mu             sync.Mutex
	sent, received *direction
	toldAt         time.Time
	toldMessages   int64
	messageBytes   *metrics.Counter
}

// direction is one direction of the link.
type direction struct {
	budget       *linkbudget.Budget
	limiter      *rate.Limiter
	traffic      *transfer.Traffic
	seen         int64
	calls        *metrics.Counter
	chunks       *metrics.Counter
	granted      atomic.Int64
	carriedBytes atomic.Int64
}

func newLink(settings *platform.Settings, t *transfer.Transfer, set *metrics.Set) *link {
	l := &link{
		class:        linkbudget.Bounded,
		messageBytes: set.NewCounter(`laburnumgw_link_bytes_total{direction="sent",kind="messages"}`),
	}
	if settings.Bounds.VersionApply == 0 {
		l.class = linkbudget.Unbounded
	}
	budget := linkbudget.Settings{Rate: settings.LinkMbit * bytesPerMegabit, Promised: linkShare, Usable: usableShare, Overhead: chunkOverhead}
	newDirection := func(name string, limiter *rate.Limiter, traffic *transfer.Traffic) *direction {
		counter := func(kind string) *metrics.Counter {
			return set.NewCounter(fmt.Sprintf("laburnumgw_link_bytes_total{direction=%q,kind=%q}", name, kind))
		}
		d := &direction{budget: linkbudget.New(budget), limiter: limiter, traffic: traffic, calls: counter("calls"), chunks: counter("chunks")}
		d.granted.Store(int64(limiter.Limit()))
		set.NewGauge(fmt.Sprintf("laburnumgw_link_chunk_rate_bytes{direction=%q}", name), func() float64 { return float64(d.granted.Load()) })
		set.NewGauge(fmt.Sprintf("laburnumgw_link_squeezed_rate_bytes{direction=%q}", name), func() float64 { return float64(d.carriedBytes.Load()) })
		return d
	}
	l.sent = newDirection("sent", t.Links.Upload, &t.Sent)
	l.received = newDirection("received", t.Links.Download, &t.Received)
	return l
}

// messageSent counts a message to an entry.
func (l *link) messageSent(bytes int) { l.messages.Add(int64(bytes + packetHeadBytes)) }

// workerReported counts what calls and messages have taken since the last report of the worker.
func (l *link) workerReported(engine *catalog.Engine, running int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := now.Sub(l.toldAt)
	l.toldAt = now
	messages := l.messages.Load()
	own := messages - l.toldMessages
	l.toldMessages = messages
	l.messageBytes.Add(int(own))
	sent, received, ok := callTraffic(engine, running)
	if !ok || within <= 0 || within > longestCallSpan {
		return
	}
	sent, received = sent*within.Seconds(), received*within.Seconds()
	l.sent.calls.Add(int(sent))
	l.received.calls.Add(int(received))
	l.sent.budget.Calls(sent+float64(own), within, now)
	l.received.budget.Calls(received, within, now)
}

// run lets the rate of transfers follow the calls until the context ends.
func (l *link) run(ctx context.Context) {
	ticker := time.NewTicker(linkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.update(time.Now())
		}
	}
}

func (l *link) update(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent.update(l.class, now)
	l.received.update(l.class, now)
}

func (d *direction) update(class linkbudget.Class, now time.Time) {
	total := d.traffic.Bytes.Load()
	passed := total - d.seen
	d.seen = total
	d.chunks.Add(int(passed))
	d.budget.Transferred(float64(passed))
	d.budget.SetActive(passed > 0 || d.traffic.Active.Load() > 0, now)
	granted := d.budget.Rate(class, now)
	d.granted.Store(int64(granted))
	carried, _ := d.budget.Squeezed()
	d.carriedBytes.Store(int64(carried))
	if applied := float64(d.limiter.Limit()); math.Abs(granted-applied) > minRateChange*applied {
		d.limiter.SetLimit(rate.Limit(granted))
	}
}
