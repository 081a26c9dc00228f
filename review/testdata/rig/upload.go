package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	uploads = 12
	// uploadBytes is the size of each body, of which a client on a slow link sends uploadParts parts with pauses.
	uploadBytes = 1 << 20
	uploadParts = 180
	uploadPause = 100 * time.Millisecond
	// uploadTimeout is the route's timeout, uploadPatience the time that the clients have.
	uploadTimeout  = 15 * time.Second
	uploadPatience = 20 * time.Second
	// answerSlack is how long after the timeout an answer may come.
	answerSlack = 500 * time.Millisecond
)

// upload is a request with a long body.
type upload struct {
	id       string
	began    time.Time
	status   int
	answered time.Time
	err      error
}

// playUpload lets clients on slow links send bodies that are not in when the route's timeout ends.
func playUpload(_ context.Context, b *bed, trouble bool) (string, error) {
	b.putManifest(standin.Manifest{
		Routes: []standin.Route{{
			Name: "post", Host: host, PathPrefix: "/post/", Kind: "unsafe", TimeoutMS: int(uploadTimeout.Milliseconds()), ObjectiveMS: 400, Rank: 1, Service: "ledger", MaxServers: 1,
		}},
		Services: []standin.Service{{Name: "ledger"}},
	})
	for i := range 3 {
		if err := b.addServer(&server{service: "ledger", slots: 6, work: 60 * time.Millisecond}, 3, i); err != nil {
			return "", err
		}
	}
	entries, err := b.addEntries(2)
	if err != nil {
		return "", err
	}
	time.Sleep(contact)
	pause := uploadPause
	if !trouble {
		pause = 0
	}
	sent := make([]*upload, uploads)
	var wait sync.WaitGroup
	for i := range sent {
		sent[i] = &upload{id: fmt.Sprintf("u%03d", i)}
		wait.Go(func() { b.upload(entries[i%len(entries)], sent[i], pause) })
	}
	wait.Wait()
	unanswered, missing := 0, 0
	for _, u := range sent {
		switch timeout := u.began.Add(uploadTimeout); {
		case u.status == 0:
			unanswered++
			missing++
		case u.answered.After(timeout.Add(answerSlack)):
			unanswered++
			missing++
		case u.answered.After(timeout):
			unanswered++
		}
	}
	b.record.add("requests without an answer at the route's timeout: %d of %d; without one %v later: %d", unanswered, uploads, answerSlack, missing)
	if missing < 8 || 4*missing <= uploads || 2*missing <= unanswered {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: of %d requests that were unanswered at their route's timeout, %d had no answer %v later", unanswered, missing, answerSlack), nil
}

// upload sends a request with a long body, and reads its answer.
func (b *bed) upload(m *machine, u *upload, pause time.Duration) {
	var conn net.Conn
	if conn, u.err = net.Dial("tcp", m.Front); u.err != nil {
		return
	}
	defer conn.Close()
	u.began = time.Now()
	_ = conn.SetDeadline(u.began.Add(uploadPatience))
	fmt.Fprintf(conn, "POST /post/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		host, headerID, u.id, headerKey, callerKey, headerDeadline, strconv.FormatInt(uploadPatience.Milliseconds(), 10), uploadBytes)
	b.record.add("client begins to send %s to %s", u.id, m.Name)
	go func() {
		body := make([]byte, uploadBytes)
		for i := range uploadParts {
			if _, err := conn.Write(body[i*uploadBytes/uploadParts : (i+1)*uploadBytes/uploadParts]); err != nil {
				b.record.add("client can't send on %s after %d of %d parts: %v", u.id, i, uploadParts, err)
				return
			}
			time.Sleep(pause)
		}
		b.record.add("client has sent the whole of %s", u.id)
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
	}
	if u.err = err; err == nil {
		u.status, u.answered = response.StatusCode, time.Now()
	}
	b.record.add("client gets status %d to %s after %d ms, error %v", u.status, u.id, time.Since(u.began).Milliseconds(), err)
}
