package placement

// indexedHeap is a min-heap over small integer members with adjustable keys. Equal
// keys are ordered by member, so that the order does not depend on history.
type indexedHeap struct {
	priorities []float64
	heap       []int32
	// position is the place of each member in heap, or -1.
	position []int32
}

// newIndexedHeap returns an empty ranking for members 0 to n-1.
func newIndexedHeap(n int) *indexedHeap {
	r := &indexedHeap{priorities: make([]float64, n), heap: make([]int32, 0, n), position: make([]int32, n)}
	for i := range r.position {
		r.position[i] = -1
	}
	return r
}

// copyFrom makes r a copy of another ranking of the same number of members.
func (r *indexedHeap) copyFrom(o *indexedHeap) {
	copy(r.priorities, o.priorities)
	copy(r.position, o.position)
	r.heap = append(r.heap[:0], o.heap...)
}

// top returns the member with the smallest key, or -1.
func (r *indexedHeap) top() int {
	if len(r.heap) == 0 {
		return -1
	}
	return int(r.heap[0])
}

// set adds the member or changes its key.
func (r *indexedHeap) set(m int, key float64) {
	r.priorities[m] = key
	i := int(r.position[m])
	if i < 0 {
		i = len(r.heap)
		r.heap = append(r.heap, int32(m)) //nolint:gosec // fewer than 65536 members
		r.position[m] = int32(i)          //nolint:gosec // as above
	}
	r.up(i)
	r.down(int(r.position[m]))
}

// remove takes the member out.
func (r *indexedHeap) remove(m int) {
	i := int(r.position[m])
	if i < 0 {
		return
	}
	last := len(r.heap) - 1
	r.swap(i, last)
	r.heap = r.heap[:last]
	r.position[m] = -1
	if i < last {
		moved := int(r.heap[i])
		r.up(i)
		r.down(int(r.position[moved]))
	}
}

func (r *indexedHeap) less(i, j int) bool {
	a, b := r.heap[i], r.heap[j]
	if r.priorities[a] != r.priorities[b] {
		return r.priorities[a] < r.priorities[b]
	}
	return a < b
}

func (r *indexedHeap) swap(i, j int) {
	r.heap[i], r.heap[j] = r.heap[j], r.heap[i]
	r.position[r.heap[i]], r.position[r.heap[j]] = int32(i), int32(j) //nolint:gosec // as above
}

func (r *indexedHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !r.less(i, parent) {
			return
		}
		r.swap(i, parent)
		i = parent
	}
}

func (r *indexedHeap) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(r.heap) {
			return
		}
		if c+1 < len(r.heap) && r.less(c+1, c) {
			c++
		}
		if !r.less(c, i) {
			return
		}
		r.swap(i, c)
		i = c
	}
}
