package steward

import (
	"fmt"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// NameError reports a name that nothing has.
type NameError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("no %s is named %q", e.Kind, e.Name) }

// BudgetError reports a drain that would leave a pool with less than its least
// share.
type BudgetError struct {
	Pool   string
	Budget fleet.Budget
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("pool %q has %d of %d slots out and may have %d", e.Pool, e.Budget.Out, e.Budget.Total, e.Budget.Allowed)
}

// Drain takes an instance out of service for an operator if the budget of its
// pool allows it. A drain of a wave that is under way becomes the operator's, so
// that it does not end by itself. It returns whether anything changed. The
// error is a *NameError or a *BudgetError.
func Drain(next *fleet.Fleet, parsed document.Document, name string) (isChanged bool, err error) {
	position := next.Find(name)
	if position < 0 {
		return false, &NameError{Kind: "instance", Name: name}
	}
	i := &next.Instances[position]
	if i.State == fleet.Draining && i.Reason != fleet.ByOperator {
		i.Reason = fleet.ByOperator
		i.Target = ""
		return true, nil
	}
	if !i.IsServing() {
		return false, nil
	}
	return true, takeOut(next, parsed, position, fleet.ByOperator)
}

// Return puts a draining instance back into service. It returns whether
// anything changed. The error is a *NameError.
func Return(next *fleet.Fleet, name string) (isChanged bool, err error) {
	position := next.Find(name)
	if position < 0 {
		return false, &NameError{Kind: "instance", Name: name}
	}
	if next.Instances[position].State != fleet.Draining {
		return false, nil
	}
	next.Set(position, fleet.Serving, "")
	next.Instances[position].Target = ""
	return true, nil
}

// Move begins to move an instance to another pool if the budget of its own
// allows it: it drains, and changes its pool when nothing runs there. It returns
// whether anything changed. The error is a *NameError or a *BudgetError.
func Move(next *fleet.Fleet, parsed document.Document, name, target string) (isChanged bool, err error) {
	position := next.Find(name)
	if position < 0 {
		return false, &NameError{Kind: "instance", Name: name}
	}
	i := next.Instances[position]
	if !hasPool(parsed, target) {
		return false, &NameError{Kind: "pool", Name: target}
	}
	if !i.IsServing() || i.Pool == target {
		return false, nil
	}
	if err = takeOut(next, parsed, position, fleet.ByMove); err != nil {
		return false, err
	}
	next.Instances[position].Target = target
	return true, nil
}

// takeOut begins a drain if the budget of the pool admits it.
func takeOut(next *fleet.Fleet, parsed document.Document, position int, reason fleet.Reason) error {
	i := next.Instances[position]
	budget := next.PoolBudget(i.Pool, leastOf(parsed, i.Pool))
	if !budget.Admits(i) {
		return &BudgetError{Pool: i.Pool, Budget: budget}
	}
	next.Set(position, fleet.Draining, reason)
	return nil
}

func leastOf(parsed document.Document, pool string) float64 {
	for _, p := range parsed.Pools {
		if p.Name == pool {
			return p.Least
		}
	}
	return 0
}

func hasPool(parsed document.Document, name string) bool {
	for _, p := range parsed.Pools {
		if p.Name == name {
			return true
		}
	}
	return false
}
