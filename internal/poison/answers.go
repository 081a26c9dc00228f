package poison

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// answerTimes holds when a request with a part was last answered, for the maxAnswers parts that were answered last.
type answerTimes struct {
	times *simplelru.LRU[string, time.Time]
}

func newAnswerTimes() answerTimes {
	times, err := simplelru.NewLRU[string, time.Time](maxAnswers, nil)
	if err != nil {
		// The only error is a size that is not positive.
		panic(err)
	}
	return answerTimes{times: times}
}

// last returns when a part was last answered, or the zero time.
func (a answerTimes) last(part string) time.Time {
	at, _ := a.times.Peek(part)
	return at
}

// record stores an answer if it is later than the known one.
func (a answerTimes) record(part string, at time.Time) {
	if at.After(a.last(part)) {
		a.times.Add(part, at)
	}
}

func (a answerTimes) len() int { return a.times.Len() }
