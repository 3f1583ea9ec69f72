package owner

import (
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// reportShares updates the metric of the distance from the fair shares and logs the accounts
// that are held back.
func (o *Owner) reportShares(now time.Time) {
	if o.config.AccountWeight == nil {
		return
	}
	o.metrics.shareDistance.Update(o.cell.ShareDistance())
	for _, r := range o.cell.TakeHeldBack(now) {
		event.AccountHeldBack.Log(o.config.Log, logrus.Fields{
			"account": r.Account, "weight": r.Demand.Weight, "entitled": r.Entitlement.Total, "used": r.Demand.Used,
			"asked": r.Demand.Total, "epoch": int64(o.epoch),
		})
	}
}
