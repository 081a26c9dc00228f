package netpeek

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
)

// NotWrappedError reports that a connection neither is nor wraps one of the type that was looked for, so that a part of
// the server which counts or bounds its connections doesn't see it.
type NotWrappedError struct {
	// Wanted is the type that was looked for, Innermost the type of the last connection that could be unwrapped.
	Wanted, Innermost string
}

func (e *NotWrappedError) Error() string {
	return "no " + e.Wanted + " around the connection: the search ended at " + e.Innermost
}

// Find returns the connection of type T that conn is or wraps. Wrappers have a method NetConn that returns the wrapped
// connection. Find returns *NotWrappedError if there is none.
func Find[T net.Conn](conn net.Conn) (T, error) {
	for {
		if found, ok := conn.(T); ok {
			return found, nil
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			var none T
			return none, errors.WithStack(&NotWrappedError{Wanted: fmt.Sprintf("%T", none), Innermost: fmt.Sprintf("%T", conn)})
		}
		conn = wrapper.NetConn()
	}
}
