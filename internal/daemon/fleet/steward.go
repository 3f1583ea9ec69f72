package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/cell/steward"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/call"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/plan/pools"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// stewardCell is the name under which the stewardship is owned, like a cell. No pool
// can have this name.
const stewardCell = "~steward"

// startSteward runs the steward in the background until it ends. The condition is the
// ownership key of the stewardship, whose revision is the epoch, and lease the one of the
// key. It does nothing if the lease has expired, and releases the stewardship if this
// entry is leaving.
func (d *Daemon) startSteward(condition store.Condition, lease store.Lease) {
	event.StewardAcquired.Log(d.log, logrus.Fields{"epoch": condition.Revision})
	s := steward.New(steward.Config{
		Store: d.store, Cloud: d.platform.Cloud,
		Cells:     steward.Cells{Survey: d.survey, Cordon: d.cordon},
		Holder:    cloud.Holder{Name: d.self.Name, Epoch: condition.Revision},
		Condition: condition, IsValid: d.session.IsValid,
		QuietPeriod: d.quietPeriod(),
		Pools:       d.pools, Waves: d.currentWaves, EncodeStatus: d.platform.EncodeWaveStatus,
		CPU: d.endpointCPU, Evacuated: d.evacuations.centres, Log: d.log, Scope: d.config.Scope,
	})
	d.mu.Lock()
	if d.session.Lease() != lease {
		d.mu.Unlock()
		event.StewardLost.Log(d.log, logrus.Fields{"epoch": condition.Revision, "reason": errLeaseExpired.Error()})
		return
	}
	// leave stops the steward that was set before under the same lock.
	if d.isLeaving {
		d.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		d.releaseStewardship(ctx, condition)
		event.StewardLost.Log(d.log, logrus.Fields{"epoch": condition.Revision, "reason": "the entry is leaving"})
		return
	}
	d.steward = s
	d.mu.Unlock()
	d.workers.Go(func() {
		s.Run()
		d.mu.Lock()
		if d.steward == s {
			d.steward = nil
		}
		d.mu.Unlock()
		event.StewardLost.Log(d.log, logrus.Fields{"epoch": condition.Revision})
	})
}

// leaving returns the function that reads which endpoints of a cell are to get no work after its takeover,
// nil if nothing is ordered.
func (d *Daemon) leaving(cell string) func(ctx context.Context) (endpoints []string, err error) {
	if d.platform.Cloud == nil {
		return nil
	}
	return func(ctx context.Context) ([]string, error) { return steward.Leaving(ctx, d.store, cell) }
}

// quietPeriod returns how long machines that the previous steward ordered get no orders.
func (d *Daemon) quietPeriod() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.config.Settings.Bounds.QuietPeriodMilliseconds) * time.Millisecond
}

// pools returns the pools of the configuration in force.
func (d *Daemon) pools() []pools.Pool {
	s := d.setup.Load()
	list := make([]pools.Pool, 0, len(s.Pools))
	for _, p := range s.Pools {
		list = append(list, pools.Pool{Name: p.Name, IsStandby: p.IsStandby})
	}
	return list
}

// endpointCPU returns the capacity of an endpoint in thousandths of a core, 0 if
// unknown.
func (d *Daemon) endpointCPU(id string) int64 {
	registration, _ := d.directory.registration(id)
	return registration.Profile.Capacity.CPU
}

// currentWaves returns the known maintenance waves, in no particular order.
func (d *Daemon) currentWaves() []steward.Wave {
	d.mu.Lock()
	defer d.mu.Unlock()
	waves := make([]steward.Wave, 0, len(d.waves))
	for _, w := range d.waves {
		waves = append(waves, w.wave)
	}
	return waves
}

// storedWave is a wave with the revision of its key in the store.
type storedWave struct {
	revision int64
	wave     steward.Wave
}

// errNotDone means that the owner of a pool did not carry out a survey or cordon.
var errNotDone = errors.New("the owner did not answer")

// survey asks the owner of a pool for the pool's demand and the load of each endpoint.
func (d *Daemon) survey(ctx context.Context, pool string) (demand jobs.Demand, loads []jobs.Load, err error) {
	response, err := d.callOwner(ctx, &wire.Request{Cell: pool, Body: &wire.Request_Survey{Survey: &wire.Survey{}}})
	if err != nil {
		return jobs.Demand{}, nil, err
	}
	if response.GetOutcome() != call.Done {
		return jobs.Demand{}, nil, errNotDone
	}
	encoded := response.GetDemand()
	demand = jobs.Demand{
		Present: encoded.GetPresent(), Arriving: encoded.GetArriving(), LongRunningCPU: encoded.GetLasting(), MinEndpoints: int(encoded.GetLeast()),
	}
	for _, label := range encoded.GetLabel() {
		if demand.LabelCPU == nil {
			demand.LabelCPU = make(map[string]int64)
		}
		demand.LabelCPU[label.GetLabel()] = label.GetCpu()
	}
	return demand, decodeLoads(response), nil
}

// cordon has the owner of a pool keep new work off endpoints for a duration, and
// returns their loads. With evacuate, long-running tasks are moved elsewhere as well.
func (d *Daemon) cordon(ctx context.Context, pool string, ids []string, duration time.Duration, evacuate bool) ([]jobs.Load, error) {
	response, err := d.callOwner(ctx, &wire.Request{Cell: pool, Body: &wire.Request_Cordon{Cordon: &wire.Cordon{
		Endpoint: ids, Milliseconds: uint32(duration.Milliseconds()), Evacuate: evacuate,
	}}})
	if err != nil {
		return nil, err
	}
	if response.GetOutcome() != call.Done {
		return nil, errNotDone
	}
	return decodeLoads(response), nil
}

func decodeLoads(response *wire.Response) []jobs.Load {
	loads := make([]jobs.Load, 0, len(response.GetLoad()))
	for _, load := range response.GetLoad() {
		loads = append(loads, jobs.Load{
			Endpoint: load.GetEndpoint(), IsKnown: load.GetKnown(),
			Runs: int(load.GetRuns()), LongRunningRuns: int(load.GetLasting()), CPU: load.GetCpu(),
		})
	}
	return loads
}
