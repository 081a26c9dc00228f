package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = heads }

const (
	// uncontrolled is the number of clients that send a head over the limit of 16,384 bytes and don't end it.
	uncontrolled     = 400
	uncontrolledHead = 20_000
	// ordinaryClients keep a channel for requestsPerChannel requests each, then open another one.
	ordinaryClients    = 20
	requestsPerChannel = 30
	ordinaryBody       = 1500
	ordinaryTimeout    = 1500 * time.Millisecond
	work               = 250 * time.Millisecond
	calmTime           = 3 * time.Second
	troubledTime       = 15 * time.Second
	// lostAllowed is the number in the rule.
	lostAllowed = 3
)

// heads: clients that nobody controls send heads over the limit while ordinary clients use kept channels. Broken if more
// than lostAllowed requests that were passed on to a sound engine end with a closed channel.
func heads(b *bed) (bool, error) {
	var ran sync.Map
	plain := &engine{bed: b, id: "i-plain", service: "desk", index: 20, slots: 2 * ordinaryClients}
	plain.handle = func(w http.ResponseWriter, _ *http.Request, id string) {
		ran.Store(id, true)
		b.note("request %s runs at %s", id, plain.id)
		time.Sleep(work)
		plain.answerPlain(w, id)
	}
	b.manifest("desk", "model", 6)
	if err := plain.start(); err != nil {
		return false, err
	}
	entry := b.entry(10)
	if err := b.startAll(entry); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	ctx, cancel := context.WithTimeout(b.ctx, calmTime+troubledTime)
	defer cancel()
	var all sync.WaitGroup
	var lost, answered, notPassedOn atomic.Int64
	for range ordinaryClients {
		all.Go(func() {
			for ctx.Err() == nil {
				b.useChannel(ctx, entry, func(r request, a answer) {
					_, wasRun := ran.Load(r.id)
					b.note("request %s on a kept channel: %v; passed on to the engine: %v", r.id, a, wasRun)
					switch {
					case a.err == nil:
						answered.Add(1)
					case wasRun:
						lost.Add(1)
					default:
						notPassedOn.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(calmTime)
	b.note("before the disturbance: %d answered, %d lost, %d closed before they were passed on", answered.Load(), lost.Load(), notPassedOn.Load())
	if lost.Load()+notPassedOn.Load() > 0 {
		return false, fmt.Errorf("channels were closed before the disturbance")
	}
	if b.trouble {
		for range uncontrolled {
			all.Go(func() { b.sendHead(ctx, entry) })
		}
	}
	all.Wait()
	b.note("%d requests answered; %d passed on to a sound engine and lost with their channel, allowed are %d; %d closed before they were passed on; %s runs: %v",
		answered.Load(), lost.Load(), lostAllowed, notPassedOn.Load(), entry.name, entry.running())
	return lost.Load() > lostAllowed, nil
}

// useChannel sends requests on one channel and reports each answer.
func (b *bed) useChannel(ctx context.Context, entry *process, report func(request, answer)) {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(entry.ip, strconv.Itoa(frontPort)), time.Second)
	if err != nil {
		b.note("no channel: %v", err)
		time.Sleep(work)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; i < requestsPerChannel && ctx.Err() == nil; i++ {
		r := request{id: newID(), method: http.MethodPost, path: "/unsafe/x", timeout: ordinaryTimeout, body: strings.Repeat("x", ordinaryBody)}
		a := exchange(entry, conn, reader, r)
		report(r, a)
		if a.err != nil || a.header.Get("Connection") == "close" {
			return
		}
		time.Sleep(work / 5)
	}
}

// sendHead plays a client that nobody controls: it sends a head over the limit, doesn't end it, and comes again when
// its channel is closed.
func (b *bed) sendHead(ctx context.Context, entry *process) {
	head := "GET /safe/x HTTP/1.1\r\nHost: " + host + "\r\nX-Long: " + strings.Repeat("x", uncontrolledHead)
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", net.JoinHostPort(entry.ip, strconv.Itoa(frontPort)), time.Second)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			if _, err := io.WriteString(conn, head); err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
			stop()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}
