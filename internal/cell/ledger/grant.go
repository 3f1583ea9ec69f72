package ledger

import (
	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// grant records that a cell has got more of a limit.
type grant struct {
	// pass is that of the write, started Need.Started before it.
	pass    int
	started int64
	// isClaimed reports that a claim was met.
	isClaimed bool
}

// reportUnused logs the claims that were met and with which cells have started nothing while they might keep them.
func (l *Ledger) reportUnused(cells []Cell) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.accounts {
		for _, cell := range cells {
			g, isGranted := l.granted[accountCell{name, cell.Name}]
			need := cell.needs[name]
			if isGranted && g.isClaimed && l.pass-g.pass == grantPasses && need.Started == g.started {
				event.LimitClaimUnused.Log(l.log, logrus.Fields{
					"account": name, "cell": cell.Name, "allocation": l.stored[name][cell.Name].Size, "used": need.Used, "units": need.Units,
				})
			}
		}
	}
}
