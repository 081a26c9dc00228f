package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
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
	tokens             string
	stream             bool
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
	if one.tokens != "" {
		request.Header.Set(`Lagoonlane-Token-Count`, one.tokens)
		request.Header.Set(`Lagoonlane-Model`, "m")
	}
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

// load sends requests from several callers to the entries until stop is closed. Every caller pauses
// between its requests.
func (s *site) load(callers int, pause time.Duration, entries []*process, one call, stop chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			c := newCaller(s)
			time.Sleep(time.Duration(i) * pause / time.Duration(callers))
			for {
				select {
				case <-stop:
					return
				default:
				}
				c.send(entries[i%len(entries)].front, one)
				time.Sleep(pause)
			}
		}()
	}
	return &group
}
