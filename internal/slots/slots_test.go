package slots_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// side is a sidecar with one slot on a loopback port.
type side struct {
	queue   *admission.SlotQueue
	client  *slots.Client
	address string
}

func newSide(t *testing.T) *side {
	queue := admission.NewSlotQueue(admission.SlotOptions{Slots: 1})
	server := slots.NewServer(slots.ServerOptions{
		Queue:  queue,
		Probe:  func(context.Context) (slots.EngineState, error) { return slots.EngineState{}, nil },
		Logger: zerolog.Nop(),
	})
	mux := http.NewServeMux()
	mux.Handle("POST "+slots.Path, server)
	listening := httptest.NewUnstartedServer(nil)
	listening.Config = transport.NewInternalServer(mux)
	listening.Start()
	t.Cleanup(listening.Close)
	http2 := transport.NewClient("", nil)
	t.Cleanup(http2.CloseIdleConnections)
	return &side{queue: queue, client: slots.NewClient(http2), address: listening.Listener.Addr().String()}
}

func ask(id string) slots.Ask { return slots.Ask{RequestID: id, BudgetMS: 10_000, Slots: 1} }

// eventually waits for something that another goroutine does.
func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatalf("not within 5 s: %s", what)
}

func TestWithdrawnTicketLeavesTheQueue(t *testing.T) {
	c := qt.New(t)
	s := newSide(t)
	lease, err := s.client.Acquire(t.Context(), s.address, ask("a"), nil)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	queued, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		_, err := s.client.Acquire(ctx, s.address, ask("b"), func(admission.SlotLoad) { close(queued) })
		ended <- err
	}()
	<-queued
	cancel()
	c.Assert(errors.Is(awaitError(c, ended), context.Canceled), qt.IsTrue)
	eventually(c, "the ticket is out of the queue", func() bool { return s.queue.Load().Waiting[0] == 0 })
	lease.Finish(admission.Outcome{Sent: true})
	eventually(c, "the slot is free", func() bool { return s.queue.Load().Running == 0 })
}

func TestAbandonedLeaseFreesItsSlot(t *testing.T) {
	c := qt.New(t)
	s := newSide(t)
	lease, err := s.client.Acquire(t.Context(), s.address, ask("a"), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(s.queue.Load().Running, qt.Equals, 1)
	lease.Abandon()
	eventually(c, "the slot is free", func() bool { return s.queue.Load().Running == 0 })
}

func TestSilentSidecarIsUnreachable(t *testing.T) {
	c := qt.New(t)
	s := newSide(t)
	_, err := s.client.Acquire(t.Context(), "127.0.0.1:1", ask("a"), nil)
	var unreachable *slots.UnreachableError
	c.Assert(errors.As(err, &unreachable), qt.IsTrue)
}

func awaitError(c *qt.C, ended <-chan error) error {
	c.Helper()
	select {
	case err := <-ended:
		return err
	case <-time.After(5 * time.Second):
		c.Fatal("the call did not end within 5 s")
		return nil
	}
}
