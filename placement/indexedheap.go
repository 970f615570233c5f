package placement

// indexedHeap is a binary min-heap over members numbered from 0, whose priorities can be
// changed. Members of equal priority are ordered by number, so that the order does not
// depend on earlier operations.
type indexedHeap struct {
	priorities []float64
	heap       []int32
	// position is the index in heap of each member, or -1 if it is not in the heap.
	position []int32
}

// newIndexedHeap returns an empty heap for members 0 to n-1.
func newIndexedHeap(n int) *indexedHeap {
	h := &indexedHeap{priorities: make([]float64, n), heap: make([]int32, 0, n), position: make([]int32, n)}
	for i := range h.position {
		h.position[i] = -1
	}
	return h
}

// copyFrom makes h a copy of a heap with the same maximum number of members.
func (h *indexedHeap) copyFrom(o *indexedHeap) {
	copy(h.priorities, o.priorities)
	copy(h.position, o.position)
	h.heap = append(h.heap[:0], o.heap...)
}

// top returns the member with the lowest priority value, or -1 if the heap is empty.
func (h *indexedHeap) top() int {
	if len(h.heap) == 0 {
		return -1
	}
	return int(h.heap[0])
}

// set adds a member or changes its priority.
func (h *indexedHeap) set(m int, priority float64) {
	h.priorities[m] = priority
	i := int(h.position[m])
	if i < 0 {
		i = len(h.heap)
		h.heap = append(h.heap, int32(m)) //nolint:gosec // fewer than 65536 members
		h.position[m] = int32(i)          //nolint:gosec // as above
	}
	h.up(i)
	h.down(int(h.position[m]))
}

// remove deletes a member if it is in the heap.
func (h *indexedHeap) remove(m int) {
	i := int(h.position[m])
	if i < 0 {
		return
	}
	last := len(h.heap) - 1
	h.swap(i, last)
	h.heap = h.heap[:last]
	h.position[m] = -1
	if i < last {
		moved := int(h.heap[i])
		h.up(i)
		h.down(int(h.position[moved]))
	}
}

func (h *indexedHeap) less(i, j int) bool {
	a, b := h.heap[i], h.heap[j]
	if h.priorities[a] != h.priorities[b] {
		return h.priorities[a] < h.priorities[b]
	}
	return a < b
}

func (h *indexedHeap) swap(i, j int) {
	h.heap[i], h.heap[j] = h.heap[j], h.heap[i]
	h.position[h.heap[i]], h.position[h.heap[j]] = int32(i), int32(j) //nolint:gosec // as above
}

func (h *indexedHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.heap) {
			return
		}
		if c+1 < len(h.heap) && h.less(c+1, c) {
			c++
		}
		if !h.less(c, i) {
			return
		}
		h.swap(i, c)
		i = c
	}
}
