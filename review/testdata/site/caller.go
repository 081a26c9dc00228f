package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// caller sends requests one after another on a kept connection.
type caller struct {
	site   *site
	client *http.Client
}

func newCaller(s *site) *caller {
	return &caller{site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// call describes one request.
type call struct {
	method, path, body string
	deadline           time.Duration
}

// send sends one request to an entry and records its answer.
func (c *caller) send(front string, one call) string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	id := hex.EncodeToString(raw[:])
	ctx, cancel := context.WithTimeout(context.Background(), one.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, one.method, "http://"+front+one.path, strings.NewReader(one.body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set(`Lagoonlane-Request-Id`, id)
	request.Header.Set(`Lagoonlane-Credential`, apiKey)
	request.Header.Set(`Lagoonlane-Deadline-Ms`, strconv.FormatInt(one.deadline.Milliseconds(), 10))
	c.site.record.requestSent(id, front)
	response, err := c.client.Do(request)
	if err != nil {
		c.site.record.answered(id, 0, false, err.Error())
		return id
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	note := fmt.Sprintf("stamp %q bytes %d", response.Header.Get(`Lagoonlane-Response-Stamp`), len(body))
	if err != nil {
		note += " " + err.Error()
	}
	c.site.record.answered(id, response.StatusCode, err == nil, note)
	return id
}

// load sends requests from several callers to the entries until stop is closed, at a mean rate a second of all
// callers together. The pauses are exponentially distributed, as those of independent callers.
func (s *site) load(callers int, rate float64, entries []*process, one call, stop chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newCaller(s)
			for {
				pause := time.NewTimer(time.Duration(mathrand.ExpFloat64() * float64(callers) / rate * float64(time.Second)))
				select {
				case <-stop:
					pause.Stop()
					return
				case <-pause.C:
				}
				c.send(entries[i%len(entries)].front, one)
			}
		}()
	}
	return &group
}
