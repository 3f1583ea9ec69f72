package fleet

// Budget is the number of slots of a group of instances that may be out of service at the
// same time, and the number that is.
type Budget struct {
	// Total is the number of slots of all instances of the group.
	Total uint32 `json:"total"`
	// Out is the number of slots of the instances that are not serving, for whatever
	// reason.
	Out uint32 `json:"out"`
	// Allowed is the maximum of Out up to which planned work may take instances out of
	// service.
	Allowed uint32 `json:"allowed"`
}

// roundingTolerance is added before a number of slots is truncated. Without it, a product
// such as 10 × (1 − 0.9), which is slightly less than 1 in binary, would count as 0.
const roundingTolerance = 1e-9

// NewBudget returns the budget of the instances for which isMember returns true, of whose
// slots at least minShare, from 0 to 1, have to stay in service.
func NewBudget(instances []Instance, minShare float64, isMember func(i Instance) bool) (b Budget) {
	for _, i := range instances {
		if !isMember(i) {
			continue
		}
		b.Total += i.Slots
		if !i.IsServing() {
			b.Out += i.Slots
		}
	}
	b.Allowed = uint32(float64(b.Total)*(1-minShare) + roundingTolerance)
	return b
}

// Remaining returns the number of slots that may still be taken out of service.
func (b Budget) Remaining() uint32 {
	if b.Out >= b.Allowed {
		return 0
	}
	return b.Allowed - b.Out
}

// Admits reports whether a serving instance may be taken out of service.
func (b Budget) Admits(i Instance) bool { return i.Slots <= b.Remaining() }

// PoolBudget returns the budget of a pool with a minimum share in service.
func (f Fleet) PoolBudget(pool string, minShare float64) Budget {
	return NewBudget(f.Instances, minShare, func(i Instance) bool { return i.Pool == pool })
}

// CentreBudget returns the budget of the instances of a pool in one data centre. It
// allows at least the largest of them to be out of service, since otherwise a small
// group could never be maintained. The budget of the whole pool applies as well.
func (f Fleet) CentreBudget(pool, centre string, minShare float64) Budget {
	largestSlots := uint32(0)
	isMember := func(i Instance) bool { return i.Pool == pool && i.Centre == centre }
	for _, i := range f.Instances {
		if isMember(i) {
			largestSlots = max(largestSlots, i.Slots)
		}
	}
	b := NewBudget(f.Instances, minShare, isMember)
	b.Allowed = max(b.Allowed, largestSlots)
	return b
}
