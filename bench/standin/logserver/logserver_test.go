package logserver

import (
	"errors"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

func startServer(c *qt.C, options Options) (*Server, *platform.HTTPLog) {
	log := New(options)
	server := httptest.NewServer(log)
	c.Cleanup(server.Close)
	return log, platform.NewHTTPLog(server.URL, server.Client())
}

func TestAppendAndRead(t *testing.T) {
	c := qt.New(t)
	_, log := startServer(c, Options{Retention: 3})
	for i := 1; i <= 5; i++ {
		offset, err := log.Append(t.Context(), "s", []byte(strconv.Itoa(i)))
		c.Assert(err, qt.IsNil)
		c.Assert(offset, qt.Equals, uint64(i))
	}
	result, err := log.Read(t.Context(), "s", 4, 10, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(result, qt.DeepEquals, platform.ReadResult{
		Records: []platform.Record{{Offset: 4, Data: []byte("4")}, {Offset: 5, Data: []byte("5")}},
		First:   3, Next: 6,
	})
	result, err = log.Read(t.Context(), "s", 6, 10, time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Records, qt.HasLen, 0)
	_, err = log.Read(t.Context(), "s", 2, 10, 0)
	var truncated *platform.TruncatedError
	c.Assert(errors.As(err, &truncated), qt.IsTrue)
	c.Assert(truncated.First, qt.Equals, uint64(3))
}

func TestWaitingReadReturnsOnAppend(t *testing.T) {
	c := qt.New(t)
	_, log := startServer(c, Options{})
	type outcome struct {
		result platform.ReadResult
		err    error
	}
	read := make(chan outcome)
	go func() {
		result, err := log.Read(t.Context(), "s", 1, 1, time.Minute)
		read <- outcome{result, err}
	}()
	_, err := log.Append(t.Context(), "s", []byte("a"))
	c.Assert(err, qt.IsNil)
	got := <-read
	c.Assert(got.err, qt.IsNil)
	c.Assert(got.result.Records, qt.HasLen, 1)
}

func TestLostAnswerAndOutage(t *testing.T) {
	c := qt.New(t)
	server, log := startServer(c, Options{})
	server.Set(Switches{LoseAnswers: 1})
	_, err := log.Append(t.Context(), "s", []byte("a"))
	var unknown *platform.AppendUnknownError
	c.Assert(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	// The record was stored exactly once.
	result, err := log.Read(t.Context(), "s", 1, 10, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Records, qt.HasLen, 1)

	server.Set(Switches{Down: true})
	var unavailable *platform.UnavailableError
	_, err = log.Append(t.Context(), "s", []byte("b"))
	c.Assert(errors.As(err, &unavailable), qt.IsTrue, qt.Commentf("%v", err))
	_, err = log.Read(t.Context(), "s", 1, 10, 0)
	c.Assert(errors.As(err, &unavailable), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(server.Appends(), qt.Equals, uint64(1))
}
