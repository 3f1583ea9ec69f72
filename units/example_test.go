package units_test

import (
	"fmt"
	"time"

	"gitlab.com/chicorypin/chicorypin/units"
)

// Two members share three units of one resource. The second member owns two of
// them and borrows the third.
func Example() {
	table := units.NewEqualTable(1, []string{"a", "b"})
	members := make(map[string]*units.Ledger)
	for _, name := range []string{"a", "b"} {
		ledger := units.NewLedger(units.Config{Self: name})
		ledger.SetPeers([]string{"a", "b"})
		ledger.SetShare("licence", table.Units(name, 3))
		members[name] = ledger
	}
	members["a"].SetPeers([]string{"b"})
	members["b"].SetPeers([]string{"a"})

	account := members["b"].Account("licence")
	account.SetWaiting(3)
	now := time.Now()
	for _, want := range members["b"].Tick(now) {
		if reply, ok := members[want.To].ReceiveWant(now, want); ok {
			members["b"].ReceiveLend(reply)
		}
	}
	for permit := account.Acquire(); permit != nil; permit = account.Acquire() {
		defer permit.Release()
	}
	fmt.Println("in use:", account.Used())
	// Output: in use: 3
}
