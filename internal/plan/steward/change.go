package steward

import (
	"fmt"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// NameError reports that nothing of the given kind has the name.
type NameError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("no %s is named %q", e.Kind, e.Name) }

// BudgetError reports a drain that was refused because it would leave less than the
// minimum share of the pool's slots in service.
type BudgetError struct {
	Pool   string
	Budget fleet.Budget
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("pool %q has %d of %d slots out and may have %d", e.Pool, e.Budget.Out, e.Budget.Total, e.Budget.Allowed)
}

// Drain starts a drain of the named instance for an operator if the budget of its
// pool allows it. If the instance is already draining for another reason, the drain
// becomes the operator's, so that it ends only when the operator returns the
// instance. An instance that is rebooting or down is left as it is. Drain modifies
// next and reports whether anything changed. The error is a *NameError or a
// *BudgetError.
func Drain(next *fleet.Fleet, doc document.Document, name string) (isChanged bool, err error) {
	position := next.Find(name)
	if position < 0 {
		return false, &NameError{Kind: "instance", Name: name}
	}
	i := &next.Instances[position]
	if i.State == fleet.Draining && i.Reason != fleet.ByOperator {
		i.Reason = fleet.ByOperator
		i.TargetPool = ""
		return true, nil
	}
	if !i.IsServing() {
		return false, nil
	}
	return true, startDrain(next, doc, position, fleet.ByOperator)
}

// Return puts the named instance back into service if it is draining, for whatever
// reason. It modifies next and reports whether anything changed. The error is a
// *NameError.
func Return(next *fleet.Fleet, name string) (isChanged bool, err error) {
	position := next.Find(name)
	if position < 0 {
		return false, &NameError{Kind: "instance", Name: name}
	}
	if next.Instances[position].State != fleet.Draining {
		return false, nil
	}
	next.SetState(position, fleet.Serving, "")
	next.Instances[position].TargetPool = ""
	return true, nil
}

// Move starts moving the named instance to the pool target if the budget of its
// current pool allows it: the instance drains, and NewPlan changes its pool once no
// work runs on it. An instance that does not serve, or is in the pool already, is
// left as it is. Move modifies next and reports whether anything changed. The error
// is a *NameError or a *BudgetError.
func Move(next *fleet.Fleet, doc document.Document, name, target string) (isChanged bool, err error) {
	position := next.Find(name)
	if position < 0 {
		return false, &NameError{Kind: "instance", Name: name}
	}
	i := next.Instances[position]
	if !hasPool(doc, target) {
		return false, &NameError{Kind: "pool", Name: target}
	}
	if !i.IsServing() || i.Pool == target {
		return false, nil
	}
	if err = startDrain(next, doc, position, fleet.ByMove); err != nil {
		return false, err
	}
	next.Instances[position].TargetPool = target
	return true, nil
}

// startDrain starts a drain of the instance at the position if the budget of its pool
// allows it. The error is a *BudgetError.
func startDrain(next *fleet.Fleet, doc document.Document, position int, reason fleet.Reason) error {
	i := next.Instances[position]
	budget := next.PoolBudget(i.Pool, minShare(doc, i.Pool))
	if !budget.Admits(i) {
		return &BudgetError{Pool: i.Pool, Budget: budget}
	}
	next.SetState(position, fleet.Draining, reason)
	return nil
}

// minShare returns the share of a pool's slots that must stay in service, from 0 to
// 1; it is 0 for an unknown pool.
func minShare(doc document.Document, pool string) float64 {
	for _, p := range doc.Pools {
		if p.Name == pool {
			return p.MinShare
		}
	}
	return 0
}

func hasPool(doc document.Document, name string) bool {
	for _, p := range doc.Pools {
		if p.Name == name {
			return true
		}
	}
	return false
}
