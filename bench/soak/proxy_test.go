package soak

import (
	"bufio"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echo starts a server that returns each line, and returns its address and a channel of the
// received lines.
func echo(t *testing.T) (string, <-chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	lines := make(chan string, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for {
					line, err := reader.ReadString('\n')
					if err != nil {
						return
					}
					lines <- line
					if _, err := conn.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), lines
}

func TestProxyFaults(t *testing.T) {
	c := qt.New(t)
	target, received := echo(t)
	p, err := NewProxy("127.0.0.1:0", target)
	c.Assert(err, qt.IsNil)
	defer p.Close()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	// exchange sends a line and reports whether it is returned within a time.
	exchange := func(within time.Duration) bool {
		_, err := conn.Write([]byte("a\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(within)), qt.IsNil)
		_, err = reader.ReadString('\n')
		return err == nil
	}
	c.Assert(exchange(time.Second), qt.IsTrue)
	<-received
	p.SetMode(LinkSlow)
	c.Assert(exchange(linkDelay), qt.IsFalse)
	c.Assert(<-received, qt.Equals, "a\n")
	c.Assert(conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	_, err = reader.ReadString('\n')
	c.Assert(err, qt.IsNil)
	p.SetMode(LinkOneWay)
	c.Assert(exchange(100*time.Millisecond), qt.IsFalse)
	c.Assert(<-received, qt.Equals, "a\n")
	p.SetMode(LinkSilent)
	c.Assert(exchange(100*time.Millisecond), qt.IsFalse)
	c.Assert(received, qt.HasLen, 0)
	p.SetMode(LinkUp)
	c.Assert(<-received, qt.Equals, "a\n")
	p.SetMode(LinkReset)
	c.Assert(conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	for err = nil; err == nil; {
		_, err = reader.ReadString('\n')
	}
	var timeout net.Error
	c.Assert(!isTimeout(err, &timeout), qt.IsTrue)
}

func isTimeout(err error, timeout *net.Error) bool {
	e, ok := err.(net.Error)
	*timeout = e
	return ok && e.Timeout()
}
