package connguard

// connHeap is a heap of connections by what they hold, the largest holder first.
type connHeap struct {
	conns []*conn
	// held returns what a connection holds, place where its index in the heap is kept.
	held  func(*conn) int64
	place func(*conn) *int
}

func (h *connHeap) Len() int           { return len(h.conns) }
func (h *connHeap) Less(i, j int) bool { return h.held(h.conns[i]) > h.held(h.conns[j]) }

func (h *connHeap) Swap(i, j int) {
	h.conns[i], h.conns[j] = h.conns[j], h.conns[i]
	*h.place(h.conns[i]), *h.place(h.conns[j]) = i, j
}

// Push implements heap.Interface.
func (h *connHeap) Push(x any) {
	c := x.(*conn)
	*h.place(c) = len(h.conns)
	h.conns = append(h.conns, c)
}

// Pop implements heap.Interface.
func (h *connHeap) Pop() any {
	last := len(h.conns) - 1
	c := h.conns[last]
	h.conns[last] = nil
	h.conns = h.conns[:last]
	*h.place(c) = outsideHeap
	return c
}

// outsideHeap is the index of a connection that is not in a heap.
const outsideHeap = -1
