package httpwire

import "sync/atomic"

// ReservedMemory is the memory that several bodies together have reserved, in bytes. The zero
// value is none. It is safe for concurrent use.
type ReservedMemory struct{ bytes atomic.Int64 }

// Reserve reserves n more bytes unless all together would exceed the limit. It reports whether
// it did.
func (m *ReservedMemory) Reserve(n, limit int64) bool {
	if m.bytes.Add(n) <= limit {
		return true
	}
	m.bytes.Add(-n)
	return false
}

// Free returns n reserved bytes.
func (m *ReservedMemory) Free(n int64) { m.bytes.Add(-n) }
