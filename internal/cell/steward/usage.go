package steward

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/plan/pools"
)

// usageInterval is how often the use of the machines is reported.
const usageInterval = 5 * time.Second

// usageReport reports machine-seconds by pool and cause. It is used by Run alone.
type usageReport struct {
	scope tally.Scope
	log   *logrus.Entry
	table pools.UsageTable
	// since is when the machine-seconds of the next report began.
	since time.Time
	// remainders holds the parts of a second that the counters do not hold yet.
	remainders map[string]pools.Usage
}

// newUsageReport returns a report without machine-seconds; a nil scope discards metrics.
func newUsageReport(scope tally.Scope, log *logrus.Entry) usageReport {
	if scope == nil {
		scope = tally.NoopScope
	}
	return usageReport{scope: scope, log: log, remainders: make(map[string]pools.Usage)}
}

// update counts the machines of a view, and reports them once per usageInterval.
func (r *usageReport) update(now time.Time, v pools.View) {
	r.table.Add(now, v)
	if r.since.IsZero() {
		r.since = now
	}
	if now.Sub(r.since) < usageInterval {
		return
	}
	fields := logrus.Fields{"milliseconds": now.Sub(r.since).Milliseconds()}
	for pool, usage := range r.table.Take() {
		fields[pool] = describeUsage(usage)
		r.count(pool, usage)
	}
	r.since = now
	event.MachineTimeUsed.Log(r.log, fields)
}

// describeUsage returns the machine-seconds of the causes that have any.
func describeUsage(usage pools.Usage) string {
	var parts []string
	for _, cause := range pools.Causes {
		if usage[cause] > 0 {
			parts = append(parts, fmt.Sprintf("%s %.1f", cause, usage[cause]))
		}
	}
	return strings.Join(parts, " ")
}

// count adds the whole seconds of a pool's usage to the counters.
func (r *usageReport) count(pool string, usage pools.Usage) {
	if r.remainders[pool] == nil {
		r.remainders[pool] = make(pools.Usage)
	}
	for cause, seconds := range usage {
		whole, remainder := math.Modf(r.remainders[pool][cause] + seconds)
		r.remainders[pool][cause] = remainder
		r.scope.Tagged(map[string]string{"pool": pool, "cause": string(cause)}).Counter("machine_seconds").Inc(int64(whole))
	}
}
