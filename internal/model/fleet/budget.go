package fleet

// Budget counts the slots of a group of instances against the least share that
// stays available.
type Budget struct {
	// Total is the number of slots.
	Total uint32 `json:"total"`
	// Out is the number of slots of instances that do not serve, for whatever
	// reason.
	Out uint32 `json:"out"`
	// Allowed is how many slots may be out.
	Allowed uint32 `json:"allowed"`
}

// roundingMargin keeps products such as 0.9 times 10 from being rounded up.
const roundingMargin = 1e-9

// NewBudget returns the budget of the instances that the filter selects.
func NewBudget(instances []Instance, least float64, isMember func(i Instance) bool) (b Budget) {
	for _, i := range instances {
		if !isMember(i) {
			continue
		}
		b.Total += i.Slots
		if !i.IsServing() {
			b.Out += i.Slots
		}
	}
	b.Allowed = uint32(float64(b.Total)*(1-least) + roundingMargin)
	return b
}

// Left returns how many more slots may be taken out.
func (b Budget) Left() uint32 {
	if b.Out >= b.Allowed {
		return 0
	}
	return b.Allowed - b.Out
}

// Admits returns whether an instance that serves may be taken out.
func (b Budget) Admits(i Instance) bool { return i.Slots <= b.Left() }

// PoolBudget returns the budget of a pool.
func (f Fleet) PoolBudget(pool string, least float64) Budget {
	return NewBudget(f.Instances, least, func(i Instance) bool { return i.Pool == pool })
}

// CentreBudget returns the budget of the part of a pool in one data centre. A
// part whose least share would let nothing out may have its largest instance
// out, since it could never be maintained otherwise; the budget of the pool
// still binds.
func (f Fleet) CentreBudget(pool, centre string, least float64) Budget {
	largest := uint32(0)
	isMember := func(i Instance) bool { return i.Pool == pool && i.Centre == centre }
	for _, i := range f.Instances {
		if isMember(i) {
			largest = max(largest, i.Slots)
		}
	}
	b := NewBudget(f.Instances, least, isMember)
	b.Allowed = max(b.Allowed, largest)
	return b
}
