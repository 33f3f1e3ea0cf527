package journal

import (
	"time"
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
	// stateAnswered has an answer.
	stateAnswered
	// stateUnknown may have run; its answer is lost.
	stateUnknown
)

// record is the memory of one key.
type record struct {
	key  Digest
	body Digest
	// at is the time of the intent and answeredAt that of the answer, in Unix seconds.
	at         int64
	answeredAt int64
	state      state
	// waiter is the caller that waits for the intent, or zero when it left.
	waiter uint64
	// attempt numbers the grants of this process, so that a late call of one ticket
	// does not change a later attempt.
	attempt uint64
	answer  *RecordedResponse
}

func (r *record) ran() bool {
	return r.state == stateRunning || r.state == stateAnswered || r.state == stateUnknown
}

// records holds the keys of a shard within the retention and memory bounds.
type records struct {
	byKey map[Digest]*record
	// order and answered hold the keys by the time of the intent and of the answer.
	order       []*record
	answered    []*record
	answerBytes int
}

func newRecords() *records { return &records{byKey: make(map[Digest]*record)} }

func (r *records) add(rec *record) {
	r.byKey[rec.key] = rec
	r.order = append(r.order, rec)
	if rec.answer != nil {
		r.noteAnswer(rec)
	}
}

func (r *records) noteAnswer(rec *record) {
	r.answered = append(r.answered, rec)
	r.answerBytes += len(rec.answer.Body)
}

// forget removes a key that was not run.
func (r *records) forget(rec *record) {
	if r.byKey[rec.key] == rec {
		delete(r.byKey, rec.key)
	}
}

// prune drops answers and keys beyond their retention or the memory bounds. Dropped
// answers turn into unknown outcomes, which never cause a second run.
func (r *records) prune(now time.Time) {
	r.compact()
	for len(r.answered) > 0 {
		rec := r.answered[0]
		current := r.byKey[rec.key] == rec && rec.answer != nil
		expired := now.Unix()-rec.answeredAt >= int64(answerRetention/time.Second)
		if current && !expired && r.answerBytes <= maxAnswerBytes {
			break
		}
		r.answered = r.answered[1:]
		if current {
			r.answerBytes -= len(rec.answer.Body)
			rec.answer = nil
		}
	}
	for len(r.order) > 0 {
		rec := r.order[0]
		current := r.byKey[rec.key] == rec
		if current && !keyGone(rec.at, now) {
			break
		}
		r.order = r.order[1:]
		switch {
		case !current:
		case rec.state == stateAnswered || rec.state == stateUnknown:
			r.drop(rec)
		default:
			r.order = append(r.order, rec)
			return
		}
	}
}

// compact removes forgotten records from the queues when they outnumber the others.
func (r *records) compact() {
	const slack = 64
	current := func(rec *record) bool { return r.byKey[rec.key] == rec }
	if len(r.order) > 2*len(r.byKey)+slack {
		r.order = keep(r.order, current)
	}
}

func keep(list []*record, match func(*record) bool) []*record {
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
	if rec.answer != nil {
		r.answerBytes -= len(rec.answer.Body)
		rec.answer = nil
	}
}

// keyGone reports whether a record of the given time may be forgotten.
func keyGone(at int64, now time.Time) bool {
	return now.Unix()-at >= int64((keyRetention+clockSlack)/time.Second)
}

// replay applies the entries of a log. Intents without an answer are unknown: the
// process that ran them is gone.
func replay(entries []entry, now time.Time) *records {
	r := newRecords()
	for _, e := range entries {
		rec := r.byKey[e.Key]
		switch {
		case e.Kind == entryVoid && rec != nil && rec.state == stateUnknown:
			r.forget(rec)
		case e.Kind == entryIntent && rec == nil && !keyGone(e.At, now):
			r.add(&record{key: e.Key, body: e.Body, at: e.At, state: stateUnknown})
		case e.Kind == entryAnswer && rec != nil && rec.state != stateAnswered:
			rec.state = stateAnswered
			rec.answeredAt = e.At
			rec.answer = e.Answer
			r.noteAnswer(rec)
		}
	}
	r.prune(now)
	return r
}

// merge adds what this process knows from an earlier ownership to the records of the
// log, and returns the entries that the log lacks: answers that were not written
// before the ownership was lost, and records that a restore of the platform removed.
func (r *records) merge(memory *records) []entry {
	var missing []entry
	for _, old := range memory.order {
		if memory.byKey[old.key] != old || !old.ran() {
			continue
		}
		rec := r.byKey[old.key]
		if rec == nil {
			r.add(old)
			missing = append(missing, entry{Kind: entryIntent, Key: old.key, Body: old.body, At: old.at})
			missing = append(missing, answerEntries(old)...)
			continue
		}
		if rec.state == stateUnknown && old.state != stateUnknown {
			rec.state = old.state
			rec.attempt = old.attempt
			rec.answer = old.answer
			rec.answeredAt = old.answeredAt
			missing = append(missing, answerEntries(rec)...)
			if rec.answer != nil {
				r.noteAnswer(rec)
			}
		}
	}
	return missing
}

func answerEntries(rec *record) []entry {
	if rec.state != stateAnswered || rec.answer == nil {
		return nil
	}
	return []entry{{Kind: entryAnswer, Key: rec.key, At: rec.answeredAt, Answer: rec.answer}}
}

// dump returns the whole content as entries in parts of bounded size. Intents that are
// in no batch yet are left out: they have not been written.
func (r *records) dump(partBytes int) [][]entry {
	var parts [][]entry
	var part []entry
	size := 0
	for _, rec := range r.order {
		if r.byKey[rec.key] != rec || rec.state == stateQueued {
			continue
		}
		part = append(part, entry{Kind: entryIntent, Key: rec.key, Body: rec.body, At: rec.at})
		part = append(part, answerEntries(rec)...)
		size += part[len(part)-1].size()
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
