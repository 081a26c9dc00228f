package sidecar

import "time"

const (
	// answerRetentionIdempotent and answerRetentionNonIdempotent are how long a finished answer is
	// retained for readers that reconnect.
	answerRetentionIdempotent    = 30 * time.Second
	answerRetentionNonIdempotent = 10 * time.Minute
	// idRetentionIdempotent and idRetentionNonIdempotent are how long the id of a finished dispatch is
	// retained. No message about the dispatch may arrive later than that.
	idRetentionIdempotent    = time.Hour
	idRetentionNonIdempotent = 25 * time.Hour
	// idRetentionBarred is how long a barred id is retained. It can be short: a dispatch that
	// arrives later has no grant and is refused for that reason.
	idRetentionBarred = 5 * time.Minute
	// maxRetainedAnswerBytes bounds the total size of the retained finished answers.
	maxRetainedAnswerBytes = 64 << 20
	// maxRetainedIDs bounds the number of retained ids of finished dispatches.
	maxRetainedIDs = 1 << 17
	// maxBarredIDs bounds the number of retained barred ids.
	maxBarredIDs = 1 << 15
)

// retainedDispatch is a finished or barred dispatch in a retentionList.
type retainedDispatch struct {
	dispatch *dispatch
	// expires is when the entry expires.
	expires time.Time
	// bytes is the size of the answer.
	bytes int
}

// retentionList is a FIFO queue of finished or barred dispatches. All entries of a list have the
// same retention time, so the oldest one expires first.
type retentionList struct{ items []retainedDispatch }

// push appends an entry, which must not expire before the last one.
func (l *retentionList) push(entry retainedDispatch) { l.items = append(l.items, entry) }

// pop removes and returns the oldest entry. The list must not be empty.
func (l *retentionList) pop() retainedDispatch {
	oldest := l.items[0]
	l.items[0] = retainedDispatch{}
	l.items = l.items[1:]
	return oldest
}

// hasExpired reports whether the oldest entry has expired.
func (l *retentionList) hasExpired(now time.Time) bool {
	return len(l.items) > 0 && !now.Before(l.items[0].expires)
}

// retention holds the dispatches that have ended, with their answers, until they expire or
// exceed a bound. The table's mu guards it.
type retention struct {
	// answers and ids hold idempotent dispatches at index 0 and non-idempotent ones at
	// index 1.
	answers [2]retentionList
	ids     [2]retentionList
	barred  retentionList
	// answerBytes is the total size of the retained answers.
	answerBytes int
	// forgottenUntil is the latest regular expiry of all ids that were dropped early because
	// of maxRetainedIDs.
	forgottenUntil time.Time
}

// listIndex returns the index of the lists for a dispatch.
func listIndex(d *dispatch) int {
	if d.idempotent {
		return 0
	}
	return 1
}

// retainBarred retains the id of a barred dispatch. The caller holds mu.
func (t *table) retainBarred(d *dispatch) {
	retained := d.compact()
	t.byID[d.id] = retained
	t.barred.push(retainedDispatch{dispatch: retained, expires: d.endedAt.Add(idRetentionBarred)})
	if len(t.barred.items) > maxBarredIDs {
		delete(t.byID, t.barred.pop().dispatch.id)
	}
}

// retainFinished retains the id and the answer of a finished dispatch. The caller holds mu.
func (t *table) retainFinished(d *dispatch) {
	index := listIndex(d)
	answerTime, idTime := answerRetentionIdempotent, idRetentionIdempotent
	if index == 1 {
		answerTime, idTime = answerRetentionNonIdempotent, idRetentionNonIdempotent
	}
	retained := d.compact()
	t.byID[d.id] = retained
	bytes := retained.answer.size()
	t.answerBytes += bytes
	t.answers[index].push(retainedDispatch{dispatch: retained, expires: d.endedAt.Add(answerTime), bytes: bytes})
	t.ids[index].push(retainedDispatch{dispatch: retained, expires: d.endedAt.Add(idTime)})
	t.evictAnswers()
	t.evictIDs()
}

// sweep drops the expired ids and answers.
func (t *table) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.barred.hasExpired(now) {
		delete(t.byID, t.barred.pop().dispatch.id)
	}
	for index := range t.answers {
		for t.answers[index].hasExpired(now) {
			t.dropAnswer(index)
		}
		for t.ids[index].hasExpired(now) {
			oldest := t.ids[index].pop()
			delete(t.byID, oldest.dispatch.id)
		}
	}
}

// retainedBytes returns the total size of the retained answers.
func (t *table) retainedBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answerBytes
}

// evictAnswers drops the oldest answers until the total size is within
// maxRetainedAnswerBytes, those of idempotent dispatches first. The caller holds mu.
func (t *table) evictAnswers() {
	for index := range t.answers {
		for t.answerBytes > maxRetainedAnswerBytes && len(t.answers[index].items) > 0 {
			t.dropAnswer(index)
		}
	}
}

// dropAnswer drops the oldest answer of a list. The caller holds mu.
func (t *table) dropAnswer(index int) {
	oldest := t.answers[index].pop()
	oldest.dispatch.answer = nil
	t.answerBytes -= oldest.bytes
}

// evictIDs drops the oldest ids over maxRetainedIDs, those of idempotent dispatches first.
// Until the regular expiry of a dropped id, an unknown id may be a dropped one, which
// mayHaveForgotten reports. The caller holds mu.
func (t *table) evictIDs() {
	for len(t.ids[0].items)+len(t.ids[1].items) > maxRetainedIDs {
		index := 0
		if len(t.ids[0].items) == 0 {
			index = 1
		}
		oldest := t.ids[index].pop()
		delete(t.byID, oldest.dispatch.id)
		if oldest.expires.After(t.forgottenUntil) {
			t.forgottenUntil = oldest.expires
		}
	}
}

// mayHaveForgottenLocked reports whether an unknown id may be one that was dropped early. The
// caller holds mu.
func (t *table) mayHaveForgottenLocked(now time.Time) bool {
	return now.Before(t.forgottenUntil)
}
