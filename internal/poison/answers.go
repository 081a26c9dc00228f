package poison

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// answerTimes holds when a request with a part was last answered, for the maxAnswers parts that were answered last.
type answerTimes struct {
	times *simplelru.LRU[part, answer]
}

// answer holds when a part was last answered, at any process and at this one.
type answer struct{ last, own time.Time }

func newAnswerTimes() answerTimes {
	times, err := simplelru.NewLRU[part, answer](maxAnswers, nil)
	if err != nil {
		// The only error is a size that is not positive.
		panic(err)
	}
	return answerTimes{times: times}
}

// last returns when a part was last answered, or the zero time.
func (a answerTimes) last(id part) time.Time {
	known, _ := a.times.Peek(id)
	return known.last
}

// own returns when a part was last answered at this process, or the zero time.
func (a answerTimes) own(id part) time.Time {
	known, _ := a.times.Peek(id)
	return known.own
}

// record stores an answer, at this process or at another one, if it is later than the known one.
func (a answerTimes) record(id part, at time.Time, own bool) {
	known, _ := a.times.Peek(id)
	later := known
	if at.After(known.last) {
		later.last = at
	}
	if own && at.After(known.own) {
		later.own = at
	}
	if later != known {
		a.times.Add(id, later)
	}
}

func (a answerTimes) len() int { return a.times.Len() }

const (
	// rateSeconds is the period over which a process counts its answers.
	rateSeconds = 60
	// recentAnswers is the number of answers whose times are kept.
	recentAnswers = 32
)

// answerCounter counts the answers that this process has observed, of any prompt.
type answerCounter struct {
	seconds [rateSeconds]struct {
		second int64
		count  int
	}
	recent [recentAnswers]time.Time
	next   int
}

func (a *answerCounter) record(at time.Time) {
	s := &a.seconds[at.Unix()%rateSeconds]
	if s.second != at.Unix() {
		s.second, s.count = at.Unix(), 0
	}
	s.count++
	a.recent[a.next%recentAnswers] = at
	a.next++
}

// inPeriod returns the number of answers in the period that ends now.
func (a *answerCounter) inPeriod(now time.Time) (n int) {
	for _, s := range a.seconds {
		if now.Unix()-s.second < rateSeconds {
			n += s.count
		}
	}
	return n
}

// after returns the number of answers after a time, at most recentAnswers.
func (a *answerCounter) after(t time.Time) (n int) {
	for _, at := range a.recent {
		if at.After(t) {
			n++
		}
	}
	return n
}
