package journal

import (
	"time"

	"laburnumgw/lib/httpstatus"
)

// state is what a process knows about one key.
type state int

const (
	// stateQueued has an intent that is in no batch yet.
	stateQueued state = iota
	// stateCommitting has an intent in a batch whose write is not confirmed.
	stateCommitting
	// stateRunning was granted to a caller of this process.
	stateRunning
	// stateIdle has a committed intent, was never run, and its void is in no batch yet.
	stateIdle
	// stateCompleted has a response.
	stateCompleted
	// stateUnknown may have run; its response is lost.
	stateUnknown
)

// record is what a process holds in memory about one key.
type record struct {
	key  Digest
	body Digest
	// at is the time of the intent and completedAt that of the response, in Unix seconds.
	at          int64
	completedAt int64
	state       state
	// waiter is the caller that waits for the intent, or zero if none waits.
	waiter uint64
	// attempt numbers the grants of this process, so that a late call of one ticket
	// does not change a later attempt.
	attempt  uint64
	response *RecordedResponse
}

func (r *record) mayHaveRun() bool {
	return r.state == stateRunning || r.state == stateCompleted || r.state == stateUnknown
}

// records holds the keys of a shard within the retention and memory bounds.
type records struct {
	byKey map[Digest]*record
	// byIntentTime and byCompletionTime hold the records in the order of their intents and
	// of their responses. They may contain forgotten records, and records that were merged
	// or that run beyond their retention are appended out of order.
	byIntentTime     []*record
	byCompletionTime []*record
	responseBytes    int
}

func newRecords() *records { return &records{byKey: make(map[Digest]*record)} }

func (r *records) add(rec *record) {
	r.byKey[rec.key] = rec
	r.byIntentTime = append(r.byIntentTime, rec)
	if rec.response != nil {
		r.addResponse(rec)
	}
}

func (r *records) addResponse(rec *record) {
	r.byCompletionTime = append(r.byCompletionTime, rec)
	r.responseBytes += len(rec.response.Body)
}

// forget removes a key that was not run.
func (r *records) forget(rec *record) {
	if r.byKey[rec.key] == rec {
		delete(r.byKey, rec.key)
	}
}

// prune drops responses and keys beyond their retention or the memory bounds. Dropped
// responses turn into unknown outcomes, which never cause a second run.
func (r *records) prune(now time.Time) {
	r.compact()
	for len(r.byCompletionTime) > 0 {
		rec := r.byCompletionTime[0]
		current := r.byKey[rec.key] == rec && rec.response != nil
		expired := now.Unix()-rec.completedAt >= int64(responseRetention/time.Second)
		if current && !expired && r.responseBytes <= maxResponseBytes {
			break
		}
		r.byCompletionTime = r.byCompletionTime[1:]
		if current {
			r.responseBytes -= len(rec.response.Body)
			rec.response = nil
		}
	}
	for len(r.byIntentTime) > 0 {
		rec := r.byIntentTime[0]
		current := r.byKey[rec.key] == rec
		if current && !keyExpired(rec.at, now) {
			break
		}
		r.byIntentTime = r.byIntentTime[1:]
		switch {
		case !current:
		case rec.state == stateCompleted || rec.state == stateUnknown:
			r.drop(rec)
		default:
			r.byIntentTime = append(r.byIntentTime, rec)
			return
		}
	}
}

// compact removes forgotten records from the queues when they outnumber the others.
func (r *records) compact() {
	const slack = 64
	current := func(rec *record) bool { return r.byKey[rec.key] == rec }
	if len(r.byIntentTime) > 2*len(r.byKey)+slack {
		r.byIntentTime = filter(r.byIntentTime, current)
	}
}

func filter(list []*record, match func(*record) bool) []*record {
	var kept []*record
	for _, rec := range list {
		if match(rec) {
			kept = append(kept, rec)
		}
	}
	return kept
}

func (r *records) drop(rec *record) {
	delete(r.byKey, rec.key)
	if rec.response != nil {
		r.responseBytes -= len(rec.response.Body)
		rec.response = nil
	}
}

// keyExpired reports whether a record of the given time may be forgotten.
func keyExpired(at int64, now time.Time) bool {
	return now.Unix()-at >= int64((keyRetention+clockSlack)/time.Second)
}

// replayLog applies the entries of a log. Intents without a response are unknown:
// the process that ran them no longer owns the shard. An answer that is no response, which an older process may
// have recorded, leaves the outcome unknown as well.
func replayLog(entries []logEntry, now time.Time) *records {
	r := newRecords()
	for _, e := range entries {
		rec := r.byKey[e.Key]
		switch {
		case e.Kind == entryVoid && rec != nil && rec.state == stateUnknown:
			r.forget(rec)
		case e.Kind == entryIntent && rec == nil && !keyExpired(e.At, now):
			r.add(&record{key: e.Key, body: e.Body, at: e.At, state: stateUnknown})
		case e.Kind == entryResponse && rec != nil && rec.state != stateCompleted && httpstatus.IsFinal(e.Response.Status):
			rec.state = stateCompleted
			rec.completedAt = e.At
			rec.response = e.Response
			r.addResponse(rec)
		}
	}
	r.prune(now)
	return r
}

// merge adds what this process knows from an earlier ownership to the records of the
// log, and returns the entries that the log lacks: responses that were not written
// before the ownership was lost, and records that a restore of the platform removed.
func (r *records) merge(known *records) []logEntry {
	var missing []logEntry
	for _, old := range known.byIntentTime {
		if known.byKey[old.key] != old || !old.mayHaveRun() {
			continue
		}
		rec := r.byKey[old.key]
		if rec == nil {
			r.add(old)
			missing = append(missing, logEntry{Kind: entryIntent, Key: old.key, Body: old.body, At: old.at})
			missing = append(missing, responseEntries(old)...)
			continue
		}
		if rec.state == stateUnknown && old.state != stateUnknown {
			rec.state = old.state
			rec.attempt = old.attempt
			rec.response = old.response
			rec.completedAt = old.completedAt
			missing = append(missing, responseEntries(rec)...)
			if rec.response != nil {
				r.addResponse(rec)
			}
		}
	}
	return missing
}

func responseEntries(rec *record) []logEntry {
	if rec.state != stateCompleted || rec.response == nil {
		return nil
	}
	return []logEntry{{Kind: entryResponse, Key: rec.key, At: rec.completedAt, Response: rec.response}}
}

// dump returns all records as entries in parts of bounded size. Intents that are
// in no batch yet are left out: they have not been written.
func (r *records) dump(partBytes int) [][]logEntry {
	var parts [][]logEntry
	var part []logEntry
	size := 0
	for _, rec := range r.byIntentTime {
		if r.byKey[rec.key] != rec || rec.state == stateQueued {
			continue
		}
		part = append(part, logEntry{Kind: entryIntent, Key: rec.key, Body: rec.body, At: rec.at})
		part = append(part, responseEntries(rec)...)
		size += part[len(part)-1].estimatedSize()
		if size >= partBytes {
			parts = append(parts, part)
			part = nil
			size = 0
		}
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts
}
