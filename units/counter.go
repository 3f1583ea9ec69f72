package units

import "sync/atomic"

// usedBits is the width of the lower part of a counter's word, the units in use.
const usedBits = 32

// counter counts units in use against a limit. Both are packed into one atomic
// word, the limit in the upper half, so that no unit can be acquired under the
// old limit while the limit is lowered. A counter is safe for concurrent use.
type counter struct {
	word atomic.Uint64
}

func packCounter(limit, used uint32) uint64 {
	return uint64(limit)<<usedBits | uint64(used)
}

func (c *counter) load() (limit, used uint32) {
	word := c.word.Load()
	return uint32(word >> usedBits), uint32(word)
}

// acquire takes one unit and returns whether the limit allowed it.
func (c *counter) acquire() bool {
	for {
		word := c.word.Load()
		limit, used := uint32(word>>usedBits), uint32(word)
		if used >= limit {
			return false
		}
		if c.word.CompareAndSwap(word, packCounter(limit, used+1)) {
			return true
		}
	}
}

// release returns one unit that was acquired. It must be called once per
// acquired unit: one call more would underflow into the limit.
func (c *counter) release() {
	c.word.Add(^uint64(0))
}

// setLimit replaces the limit, which may become less than the units in use.
func (c *counter) setLimit(limit uint32) {
	for {
		word := c.word.Load()
		if c.word.CompareAndSwap(word, packCounter(limit, uint32(word))) {
			return
		}
	}
}

// lowerLimit lowers the limit to the given one, but not below the units in use;
// it never raises it. It returns the number of units held from then on: the new
// limit, or the units in use if those are more.
func (c *counter) lowerLimit(limit uint32) uint32 {
	for {
		word := c.word.Load()
		current, used := uint32(word>>usedBits), uint32(word)
		next := min(current, max(limit, used))
		if c.word.CompareAndSwap(word, packCounter(next, used)) {
			return max(next, used)
		}
	}
}

// shrink lowers the limit by up to count free units and returns by how many.
func (c *counter) shrink(count uint32) uint32 {
	for {
		word := c.word.Load()
		limit, used := uint32(word>>usedBits), uint32(word)
		if used >= limit {
			return 0
		}
		removed := min(count, limit-used)
		if c.word.CompareAndSwap(word, packCounter(limit-removed, used)) {
			return removed
		}
	}
}
