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
	callerCount = 24
	// thinkTime is the mean time between a response and the next request of a caller.
	thinkTime = 120 * time.Millisecond
	// readyPollInterval is the time between two readiness checks of an entry.
	readyPollInterval = 250 * time.Millisecond
	// streamTimeout and plainTimeout are the deadlines that callers send with their requests.
	streamTimeout = 4 * time.Second
	plainTimeout  = 1500 * time.Millisecond
	// answerSlack is how long after its deadline a request may still be answered.
	answerSlack = time.Second
)

// call is one request with the response that its caller received.
type call struct {
	ID, Kind, Key string
	Entry         *machine
	Incarnation   int
	// Version is the version of the requested route, for calls of kind "version".
	Version int
	// Padding is the number of bytes added to the body.
	Padding     int
	Tokens      int
	Timeout     time.Duration
	Sent, Ended time.Time
	// Status is the HTTP status, or 0 if there was no response.
	Status    int
	Signature string
	// Body is the body of a plain response; Events are the events of a stream.
	Body   string
	Events []string
	// Whole is set if the response was received to its end.
	Whole bool
	Err   error
}

func (c *call) isStream() bool { return c.Kind == "stream" || c.Kind == "resume" }

// callerGroup runs the callers of one run and records their calls.
type callerGroup struct {
	testbed *testbed
	ready   []atomic.Bool
	next    atomic.Int64

	mu    sync.Mutex
	calls []*call
}

func newCallerGroup(b *testbed) *callerGroup {
	return &callerGroup{testbed: b, ready: make([]atomic.Bool, len(b.entries))}
}

// run sends requests until ctx is done, and waits for the pending responses.
func (c *callerGroup) run(ctx context.Context) {
	var all sync.WaitGroup
	for i, entry := range c.testbed.entries {
		all.Go(func() { c.pollReadiness(ctx, i, entry) })
	}
	for i := range callerCount {
		random := rand.New(rand.NewPCG(c.testbed.options.Seed, uint64(1000+i)))
		all.Go(func() { c.runCaller(ctx, random, i%2 == 0) })
	}
	all.Wait()
}

// pollReadiness polls the readiness of an entry. Two failed checks in a row mark it as not ready.
func (c *callerGroup) pollReadiness(ctx context.Context, i int, entry *machine) {
	client := &http.Client{Timeout: readyPollInterval}
	failures := 0
	for ctx.Err() == nil {
		failures++
		if answer, err := client.Get(entry.ReadyURL()); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				failures = 0
			}
		}
		c.ready[i].Store(failures < 2)
		sleep(ctx, readyPollInterval)
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

// runCaller runs one caller. It keeps its connection to an entry until that fails. A caller that
// is not sticky also leaves an entry that answers 503.
func (c *callerGroup) runCaller(ctx context.Context, random *rand.Rand, sticky bool) {
	var transport *http.Transport
	entryIndex := -1
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(thinkTime)))
		if entryIndex < 0 {
			if entryIndex = c.chooseEntry(random); entryIndex < 0 {
				continue
			}
			transport = &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
		}
		call := c.newCall(random, c.testbed.entries[entryIndex])
		c.do(transport, call)
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		if call.Err != nil || !sticky && call.Status == http.StatusServiceUnavailable {
			transport.CloseIdleConnections()
			entryIndex = -1
		}
	}
}

func (c *callerGroup) chooseEntry(random *rand.Rand) int {
	for _, i := range random.Perm(len(c.ready)) {
		if c.ready[i].Load() {
			return i
		}
	}
	return -1
}

// newCall draws the next request of a caller.
func (c *callerGroup) newCall(random *rand.Rand, entry *machine) *call {
	version, rotatedKey := c.testbed.manifests.current()
	call := &call{
		ID: fmt.Sprintf("r%d-%d", c.testbed.options.Seed, c.next.Add(1)), Entry: entry, Incarnation: entry.currentIncarnation(),
		Tokens: plainTokens, Timeout: plainTimeout, Key: "key-open",
	}
	switch n := random.IntN(100); {
	case n < 25:
		call.Kind = "unsafe"
	case n < 40:
		call.Kind = "safe"
	case n < 65:
		call.Kind = "stream"
	case n < 85:
		call.Kind = "resume"
	default:
		// This includes routes that the newest version no longer has.
		call.Kind, call.Version = "version", max(version-random.IntN(3), 1)
	}
	if call.isStream() {
		call.Tokens, call.Timeout = 300+random.IntN(400), streamTimeout
	}
	switch n := random.IntN(10); {
	case n < 2:
		call.Key = "key-limited"
	case n < 4:
		call.Key = rotatedKey
	case n == 4 && rotatedKey != "key-0":
		// This key has been revoked.
		call.Key = "key-0"
	}
	return call
}

// do sends a request and records its response.
func (c *callerGroup) do(transport *http.Transport, call *call) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout+answerSlack)
	defer cancel()
	path := call.Kind
	if call.Kind == "version" {
		path = fmt.Sprint("v", call.Version)
	}
	callerRequest := standin.CallerRequest{ID: call.ID, Key: call.Key, Timeout: call.Timeout}
	if call.isStream() {
		callerRequest.PromptTokens, callerRequest.OutputTokens = call.Tokens-100, 100
	}
	// The transport never retries a POST on its own.
	body := strings.NewReader("payload of " + call.ID + strings.Repeat(".", call.Padding))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Entry.Front+"/"+path+"/x", body)
	if err != nil {
		call.Err = err
		return
	}
	request.Host, request.Header = standin.Host, callerRequest.Header()
	call.Sent = time.Now()
	defer func() { call.Ended = time.Now() }()
	answer, err := transport.RoundTrip(request)
	if err != nil {
		call.Err = err
		return
	}
	defer answer.Body.Close()
	call.Status, call.Signature = answer.StatusCode, standin.Signature(answer.Header)
	if call.isStream() && call.Status == http.StatusOK {
		call.Events, call.Err = readEvents(answer.Body)
	} else {
		var data []byte
		data, call.Err = io.ReadAll(answer.Body)
		call.Body = string(data)
	}
	call.Whole = call.Err == nil
}

// readEvents reads the events of a stream up to its end. A partial event at the end is an error.
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
