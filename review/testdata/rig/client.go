package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	number int
	id     string
	path   string
	sent   time.Time
	status int
	// retryAfter is the Retry-After of the answer.
	retryAfter time.Duration
	err        error
	whole      bool
	body       []byte
	signed     bool
	// isRepeat says that the client sends the request for the second time.
	isRepeat bool
}

// clients sends requests to entries over kept channels.
type clients struct {
	bed    *bed
	client *http.Client
	// again returns where a client sends a request again that was refused, once. If nil, it doesn't.
	again func(*attempt) *machine

	number atomic.Int64

	mu       sync.Mutex
	attempts []*attempt
	open     sync.WaitGroup
}

func newClients(b *bed) *clients {
	return &clients{bed: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

// request is what a client asks for.
type request struct {
	method, path string
	timeout      time.Duration
	header       map[string]string
}

// send sends one attempt to an entry in the background.
func (c *clients) send(m *machine, r request) {
	c.open.Go(func() {
		first := c.attempt(m, r, false)
		if c.again == nil || first.status != http.StatusServiceUnavailable {
			return
		}
		// A client honours Retry-After up to a third of the time that it has left.
		left := r.timeout - time.Since(first.sent)
		time.Sleep(min(first.retryAfter, left/3))
		r.timeout -= time.Since(first.sent)
		c.attempt(c.again(first), r, true)
	})
}

// attempt sends a request once.
func (c *clients) attempt(m *machine, r request, isRepeat bool) *attempt {
	number := int(c.number.Add(1))
	a := &attempt{number: number, id: fmt.Sprintf("r%06d", number), path: r.path, sent: time.Now(), isRepeat: isRepeat}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	c.exchange(m, r, a)
	return a
}

func (c *clients) exchange(m *machine, r request, a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	outgoing, err := http.NewRequestWithContext(ctx, r.method, "http://"+m.Front+r.path, http.NoBody)
	if err != nil {
		a.err = err
		return
	}
	outgoing.Host = host
	outgoing.Header.Set(headerID, a.id)
	outgoing.Header.Set(headerKey, callerKey)
	outgoing.Header.Set(headerDeadline, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	for name, value := range r.header {
		outgoing.Header.Set(name, value)
	}
	c.bed.record.add("client sends %s to %s: %s %s", a.id, m.Name, r.method, r.path)
	response, err := c.client.Do(outgoing)
	if err != nil {
		a.err = err
		c.bed.record.add("client gets no answer to %s: %v", a.id, err)
		return
	}
	defer response.Body.Close()
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.body, err = io.ReadAll(response.Body)
	a.status, a.err, a.whole, a.signed = response.StatusCode, err, err == nil, response.Header.Get(headerStamp) != ""
	c.bed.record.add("client gets %d to %s, signed %v, whole %v", a.status, a.id, a.signed, a.whole)
}

// each calls send at a steady rate until the time is over.
func each(interval, total time.Duration, send func(i int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(total)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		send(i)
	}
}

// summary counts the attempts by their results.
func (c *clients) summary() map[string]int {
	c.open.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, a := range c.attempts {
		switch {
		case a.status == 0:
			counts["no answer"]++
		case !a.whole:
			counts["cut"]++
		default:
			counts[strconv.Itoa(a.status)]++
		}
	}
	return counts
}
