package slots_test

import (
	"context"
	"testing"

	"github.com/lagoonlane/lagoonlane/internal/admission"
)

// BenchmarkGranted acquires a free slot and releases it.
func BenchmarkGranted(b *testing.B) {
	s := newTestSidecar(b)
	b.ReportAllocs()
	for b.Loop() {
		lease, err := s.client.Acquire(b.Context(), sidecarAt(s.address), slotRequest("a"), nil)
		if err != nil {
			b.Fatal(err)
		}
		lease.Finish(admission.Outcome{Sent: true})
	}
}

// BenchmarkWithdrawn queues for an occupied slot and withdraws.
func BenchmarkWithdrawn(b *testing.B) {
	s := newTestSidecar(b)
	lease, err := s.client.Acquire(b.Context(), sidecarAt(s.address), slotRequest("a"), nil)
	if err != nil {
		b.Fatal(err)
	}
	defer lease.Abandon()
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithCancel(b.Context())
		if _, err := s.client.Acquire(ctx, sidecarAt(s.address), slotRequest("b"), func(admission.SlotLoad) { cancel() }); err == nil {
			b.Fatal("granted")
		}
	}
}
