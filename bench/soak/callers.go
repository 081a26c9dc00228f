package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	callers = 24
	// thinkTime is the mean time between two requests of a caller.
	thinkTime = 120 * time.Millisecond
	// readyEvery is the time between two looks whether an entry takes callers.
	readyEvery = 250 * time.Millisecond
	// patienceOfStreams and patienceOfPlain are how long callers wait.
	patienceOfStreams = 4 * time.Second
	patienceOfPlain   = 1500 * time.Millisecond
	// answerSlack is how long after a caller's patience its request may be answered.
	answerSlack = time.Second
)

// call is one request and what its caller saw.
type call struct {
	ID, Kind, Key string
	Entry         *machine
	Incarnation   int
	// Version is that of the route asked for, for calls of kind "version".
	Version int
	// Padding is the length of the body besides a few words.
	Padding     int
	Tokens      int
	Patience    time.Duration
	Sent, Ended time.Time
	// Status is 0 if there was no answer.
	Status int
	Stamp  string
	// Body is a plain answer; Events are the events of a stream.
	Body   string
	Events []string
	// Whole says that the answer came to its end.
	Whole bool
	Err   error
}

func (c *call) stream() bool { return c.Kind == "stream" || c.Kind == "resume" }

// crowd is the callers of one run.
type crowd struct {
	w     *world
	ready []atomic.Bool
	next  atomic.Int64

	mu    sync.Mutex
	calls []*call
}

func newCrowd(w *world) *crowd { return &crowd{w: w, ready: make([]atomic.Bool, len(w.entries))} }

// run sends requests until ctx is done, and waits for the answers.
func (c *crowd) run(ctx context.Context) {
	var all sync.WaitGroup
	for i, entry := range c.w.entries {
		all.Go(func() { c.watch(ctx, i, entry) })
	}
	for i := range callers {
		random := rand.New(rand.NewPCG(c.w.options.Seed, uint64(1000+i)))
		all.Go(func() { c.behave(ctx, random, i%2 == 0) })
	}
	all.Wait()
}

// watch asks an entry whether it takes callers; two misses in a row take it out.
func (c *crowd) watch(ctx context.Context, i int, entry *machine) {
	client := &http.Client{Timeout: readyEvery}
	misses := 0
	for ctx.Err() == nil {
		misses++
		if answer, err := client.Get(entry.ReadyURL()); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		c.ready[i].Store(misses < 2)
		sleep(ctx, readyEvery)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// behave is one caller: it keeps its connection to an entry until that breaks or, unless
// the caller is one that clings to it, until it is refused there.
func (c *crowd) behave(ctx context.Context, random *rand.Rand, clings bool) {
	var transport *http.Transport
	at := -1
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(thinkTime)))
		if at < 0 {
			if at = c.choose(random); at < 0 {
				continue
			}
			transport = &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
		}
		one := c.make(random, c.w.entries[at])
		c.do(transport, one)
		c.mu.Lock()
		c.calls = append(c.calls, one)
		c.mu.Unlock()
		if one.Err != nil || !clings && one.Status == http.StatusServiceUnavailable {
			transport.CloseIdleConnections()
			at = -1
		}
	}
}

func (c *crowd) choose(random *rand.Rand) int {
	for _, i := range random.Perm(len(c.ready)) {
		if c.ready[i].Load() {
			return i
		}
	}
	return -1
}

// make draws the next request of a caller.
func (c *crowd) make(random *rand.Rand, entry *machine) *call {
	version, changedKey := c.w.manifest.current()
	one := &call{
		ID: fmt.Sprintf("r%d-%d", c.w.options.Seed, c.next.Add(1)), Entry: entry, Incarnation: entry.started(),
		Tokens: plainTokens, Patience: patienceOfPlain, Key: "key-open",
	}
	switch n := random.IntN(100); {
	case n < 25:
		one.Kind = "unsafe"
	case n < 40:
		one.Kind = "safe"
	case n < 65:
		one.Kind = "stream"
	case n < 85:
		one.Kind = "resume"
	default:
		// Also routes of versions that are no longer in force are asked for.
		one.Kind, one.Version = "version", max(version-random.IntN(3), 1)
	}
	if one.stream() {
		one.Tokens, one.Patience = 300+random.IntN(400), patienceOfStreams
	}
	switch n := random.IntN(10); {
	case n < 2:
		one.Key = "key-limited"
	case n < 4:
		one.Key = changedKey
	case n == 4 && changedKey != "key-0":
		// A key that was taken away.
		one.Key = "key-0"
	}
	return one
}

// do sends a request and reads its answer.
func (c *crowd) do(transport *http.Transport, one *call) {
	ctx, cancel := context.WithTimeout(context.Background(), one.Patience+answerSlack)
	defer cancel()
	path := one.Kind
	if one.Kind == "version" {
		path = fmt.Sprint("v", one.Version)
	}
	ask := standin.CallerRequest{ID: one.ID, Key: one.Key, Timeout: one.Patience}
	if one.stream() {
		ask.PromptTokens, ask.OutputTokens = one.Tokens-100, 100
	}
	// A POST is never sent twice by the transport itself.
	body := strings.NewReader("payload of " + one.ID + strings.Repeat(".", one.Padding))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+one.Entry.Front+"/"+path+"/x", body)
	if err != nil {
		one.Err = err
		return
	}
	request.Host, request.Header = standin.Host, ask.Header()
	one.Sent = time.Now()
	defer func() { one.Ended = time.Now() }()
	answer, err := transport.RoundTrip(request)
	if err != nil {
		one.Err = err
		return
	}
	defer answer.Body.Close()
	one.Status, one.Stamp = answer.StatusCode, standin.Signature(answer.Header)
	if one.stream() && one.Status == http.StatusOK {
		one.Events, one.Err = readEvents(answer.Body)
	} else {
		var data []byte
		data, one.Err = io.ReadAll(answer.Body)
		one.Body = string(data)
	}
	one.Whole = one.Err == nil
}

// readEvents reads the events of a stream up to its end. Part of an event is an error.
func readEvents(r io.Reader) ([]string, error) {
	var events []string
	event := ""
	reader := bufio.NewReader(r)
	for {
		line, err := reader.ReadString('\n')
		event += line
		switch {
		case err == io.EOF && event == "":
			return events, nil
		case err == io.EOF:
			return events, io.ErrUnexpectedEOF
		case err != nil:
			return events, err
		case line == "\n":
			events = append(events, strings.TrimSpace(event))
			event = ""
		}
	}
}
