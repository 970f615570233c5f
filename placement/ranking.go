package placement

// indexedHeap is a binary min-heap over members numbered from 0, whose priorities can be
// changed. Members of equal priority are ordered by number, so that the order does not
// depend on earlier operations.
type ranking struct {
	keys []float64
	heap []int32
	// position is the index in heap of each member, or -1 if it is not in the heap.
	pos []int32
}

// newIndexedHeap returns an empty heap for members 0 to n-1.
func newRanking(n int) *ranking {
	r := &ranking{keys: make([]float64, n), heap: make([]int32, 0, n), pos: make([]int32, n)}
	for i := range r.pos {
		r.pos[i] = -1
	}
	return r
}

// copyFrom makes r a copy of a heap with the same maximum number of members.
func (r *ranking) copyFrom(o *ranking) {
	copy(r.keys, o.keys)
	copy(r.pos, o.pos)
	r.heap = append(r.heap[:0], o.heap...)
}

// top returns the member with the lowest priority value, or -1 if the heap is empty.
func (r *ranking) top() int {
	if len(r.heap) == 0 {
		return -1
	}
	return int(r.heap[0])
}

// set adds a member or changes its priority.
func (r *ranking) set(m int, key float64) {
	r.keys[m] = key
	i := int(r.pos[m])
	if i < 0 {
		i = len(r.heap)
		r.heap = append(r.heap, int32(m)) //nolint:gosec // fewer than 65536 members
		r.pos[m] = int32(i)               //nolint:gosec // as above
	}
	r.up(i)
	r.down(int(r.pos[m]))
}

// remove deletes a member if it is in the heap.
func (r *ranking) remove(m int) {
	i := int(r.pos[m])
	if i < 0 {
		return
	}
	last := len(r.heap) - 1
	r.swap(i, last)
	r.heap = r.heap[:last]
	r.pos[m] = -1
	if i < last {
		moved := int(r.heap[i])
		r.up(i)
		r.down(int(r.pos[moved]))
	}
}

func (r *ranking) before(i, j int) bool {
	a, b := r.heap[i], r.heap[j]
	if r.keys[a] != r.keys[b] {
		return r.keys[a] < r.keys[b]
	}
	return a < b
}

func (r *ranking) swap(i, j int) {
	r.heap[i], r.heap[j] = r.heap[j], r.heap[i]
	r.pos[r.heap[i]], r.pos[r.heap[j]] = int32(i), int32(j) //nolint:gosec // as above
}

func (r *ranking) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !r.before(i, parent) {
			return
		}
		r.swap(i, parent)
		i = parent
	}
}

func (r *ranking) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(r.heap) {
			return
		}
		if c+1 < len(r.heap) && r.before(c+1, c) {
			c++
		}
		if !r.before(c, i) {
			return
		}
		r.swap(i, c)
		i = c
	}
}
