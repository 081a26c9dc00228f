package sidecar

import "time"

const (
	// keepAnswerIdempotent and keepAnswerNonIdempotent are how long a finished answer is
	// retained for readers that reconnect.
	keepAnswerIdempotent    = 30 * time.Second
	keepAnswerNonIdempotent = 10 * time.Minute
	// keepIDIdempotent and keepIDNonIdempotent are how long the id of a finished dispatch is
	// retained. No message about the dispatch may arrive later than that.
	keepIDIdempotent    = time.Hour
	keepIDNonIdempotent = 25 * time.Hour
	// keepIDBarred is how long a barred id is retained. It can be short: a dispatch that
	// arrives later has no grant and is refused for that reason.
	keepIDBarred = 5 * time.Minute
	// maxKeptAnswerBytes bounds the total size of the retained finished answers.
	maxKeptAnswerBytes = 64 << 20
	// maxKeptIDs bounds the number of retained ids of finished dispatches.
	maxKeptIDs = 1 << 17
	// maxBarredIDs bounds the number of retained barred ids.
	maxBarredIDs = 1 << 15
)

// keptDispatch is a finished or barred dispatch in a keptList.
type keptDispatch struct {
	dispatch *dispatch
	// until is when the entry expires.
	until time.Time
	// bytes is the size of the answer.
	bytes int
}

// keptList is a FIFO queue of finished or barred dispatches. All entries of a list have the
// same retention time, so the oldest one expires first.
type keptList struct{ items []keptDispatch }

func (l *keptList) push(k keptDispatch) { l.items = append(l.items, k) }

func (l *keptList) pop() keptDispatch {
	k := l.items[0]
	l.items[0] = keptDispatch{}
	l.items = l.items[1:]
	return k
}

// expired reports whether the oldest entry has expired.
func (l *keptList) expired(now time.Time) bool {
	return len(l.items) > 0 && !now.Before(l.items[0].until)
}

// retention holds the dispatches that have ended, with their answers, until they expire or
// exceed a bound. The table's mu guards it.
type retention struct {
	// answers and ids hold idempotent dispatches at index 0 and non-idempotent ones at
	// index 1.
	answers [2]keptList
	ids     [2]keptList
	barred  keptList
	// answerBytes is the total size of the retained answers.
	answerBytes int
	// forgotUntil is the latest regular expiry of all ids that were dropped early because
	// of maxKeptIDs.
	forgotUntil time.Time
}

// listIndex returns the index of the lists for a dispatch.
func listIndex(d *dispatch) int {
	if d.idempotent {
		return 0
	}
	return 1
}

// keepBarred retains the id of a barred dispatch. The caller holds mu.
func (t *table) keepBarred(d *dispatch) {
	kept := d.compact()
	t.byID[d.id] = kept
	t.barred.push(keptDispatch{dispatch: kept, until: d.ended.Add(keepIDBarred)})
	if len(t.barred.items) > maxBarredIDs {
		delete(t.byID, t.barred.pop().dispatch.id)
	}
}

// keepFinished retains the id and the answer of a finished dispatch. The caller holds mu.
func (t *table) keepFinished(d *dispatch) {
	index := listIndex(d)
	answerTime, idTime := keepAnswerIdempotent, keepIDIdempotent
	if index == 1 {
		answerTime, idTime = keepAnswerNonIdempotent, keepIDNonIdempotent
	}
	kept := d.compact()
	t.byID[d.id] = kept
	bytes := kept.answer.size()
	t.answerBytes += bytes
	t.answers[index].push(keptDispatch{dispatch: kept, until: d.ended.Add(answerTime), bytes: bytes})
	t.ids[index].push(keptDispatch{dispatch: kept, until: d.ended.Add(idTime)})
	t.boundAnswers()
	t.boundIDs()
}

// sweep drops the expired ids and answers.
func (t *table) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.barred.expired(now) {
		delete(t.byID, t.barred.pop().dispatch.id)
	}
	for index := range t.answers {
		for t.answers[index].expired(now) {
			t.dropAnswer(index)
		}
		for t.ids[index].expired(now) {
			k := t.ids[index].pop()
			delete(t.byID, k.dispatch.id)
		}
	}
}

// keptBytes returns the total size of the retained answers.
func (t *table) keptBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answerBytes
}

// boundAnswers drops the oldest answers until the total size is within
// maxKeptAnswerBytes, those of idempotent dispatches first. The caller holds mu.
func (t *table) boundAnswers() {
	for index := range t.answers {
		for t.answerBytes > maxKeptAnswerBytes && len(t.answers[index].items) > 0 {
			t.dropAnswer(index)
		}
	}
}

// dropAnswer drops the oldest answer of a list. The caller holds mu.
func (t *table) dropAnswer(index int) {
	k := t.answers[index].pop()
	k.dispatch.answer = nil
	t.answerBytes -= k.bytes
}

// boundIDs drops the oldest ids over maxKeptIDs, those of idempotent dispatches first.
// Until the regular expiry of a dropped id, an unknown id may be a dropped one, which
// mayHaveForgotten reports. The caller holds mu.
func (t *table) boundIDs() {
	for len(t.ids[0].items)+len(t.ids[1].items) > maxKeptIDs {
		index := 0
		if len(t.ids[0].items) == 0 {
			index = 1
		}
		k := t.ids[index].pop()
		delete(t.byID, k.dispatch.id)
		if k.until.After(t.forgotUntil) {
			t.forgotUntil = k.until
		}
	}
}

// mayHaveForgotten reports whether an unknown id may be one that was dropped early. The
// caller holds mu.
func (t *table) mayHaveForgotten(now time.Time) bool {
	return now.Before(t.forgotUntil)
}
