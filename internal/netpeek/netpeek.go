// Package netpeek looks at what a connection has received without reading it.
package netpeek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what the kernel holds of a connection.
type State int

const (
	// Unknown: the connection has no descriptor to look at.
	Unknown State = iota
	// Quiet: the connection is open and nothing was received.
	Quiet
	// Waiting: bytes were received that are not read yet.
	Waiting
	// Ended: the peer closed the connection, or it broke.
	Ended
)

// Look returns the state of a connection. Bytes that a buffer in this process holds
// don't count.
func Look(conn net.Conn) State {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			state = Quiet
		case err == nil && n > 0:
			state = Waiting
		}
	})
	if err != nil {
		return Ended
	}
	return state
}

// Queued reports whether a listener holds connections that are not accepted yet. It is
// false for a listener without a descriptor.
func Queued(listener net.Listener) bool {
	raw, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = control.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		queued = err == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && queued
}
