package owner

import (
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// updateEvacuated passes the evacuations that are requested now to the cell. It is called
// before each decision to place or send a start, so that a start is sent only if the data
// centre of its endpoint was not evacuated at that moment, as far as this entry knows.
func (o *Owner) updateEvacuated(now time.Time) {
	if o.config.Evacuated != nil {
		o.cell.SetEvacuated(now, o.config.Evacuated())
	}
	if o.config.AreEvacuationsKnown != nil {
		o.cell.SuspendStarts(!o.config.AreEvacuationsKnown())
	}
}

// evacuatedReportInterval is how often the gauge evacuated_runs is updated.
const evacuatedReportInterval = time.Second

// reportEvacuatedRuns sets the gauge evacuated_runs of each evacuated data centre to the
// number of runs that are left there, and that of the others to 0.
func (o *Owner) reportEvacuatedRuns(now time.Time) {
	if now.Sub(o.evacuatedReportedAt) < evacuatedReportInterval {
		return
	}
	o.evacuatedReportedAt = now
	runs := o.cell.EvacuatedRuns()
	for centre := range runs {
		o.evacuated[centre] = true
	}
	for centre := range o.evacuated {
		o.metrics.scope.Tagged(map[string]string{"centre": centre}).Gauge("evacuated_runs").Update(float64(runs[centre]))
	}
}

// clearEvacuatedRuns sets the gauges to 0 when this owner ends, as the next one reports the
// runs of the cell.
func (o *Owner) clearEvacuatedRuns() {
	for centre := range o.evacuated {
		o.metrics.scope.Tagged(map[string]string{"centre": centre}).Gauge("evacuated_runs").Update(0)
	}
}

// isStartWanted reports whether a start that has waited for other orders is still to be sent.
func (o *Owner) isStartWanted(start jobs.Start) bool {
	o.updateEvacuated(boot.Now())
	return o.cell.IsStartCurrent(start)
}
