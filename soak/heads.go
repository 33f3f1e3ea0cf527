package soak

import (
	"time"

	"laburnumgw/standin/hosted"
)

// breakHeads has a worker close connections within the heads of its responses for some time. It has run what it
// does not answer, so that its callers must get neither a success nor a promise that the request has not run.
func (r *run) breakHeads(m *ProxiedWorker, lasts time.Duration) {
	breaks := hosted.HeadBreaks{Every: 1 + r.rng.IntN(3), Resumed: r.rng.IntN(4) == 0, Reset: r.rng.IntN(2) == 0}
	r.recordFault(lasts, "%s breaks off the heads of responses for %s: %+v", m.ID, lasts, breaks)
	if breaks.Resumed {
		m.SetBreaks(hosted.Breaks{After: 1 + r.rng.IntN(streamEvents-1)})
	}
	m.SetHeadBreaks(breaks)
	time.AfterFunc(lasts, func() { endBreaks(m) })
}

func endBreaks(m *ProxiedWorker) {
	m.SetHeadBreaks(hosted.HeadBreaks{})
	m.SetBreaks(hosted.Breaks{})
}
