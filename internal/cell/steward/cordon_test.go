package steward

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/cell/owner"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/worker"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// cordonBed is a fleet with one machine, m0, whose pool "p" has an owner.
type cordonBed struct {
	*fakeFleet
	t            *testing.T
	workers      *worker.Fleet
	registration endpoint.Registration
	owner        *owner.Owner
	steward      *Steward
	submitted    int
	// hooks are called at a moment of an order, by its name: "answered" when the owner has answered the
	// cordon, "stored" when the steward has stored its state, "sent" when the order has been sent.
	hooks map[string]func()
	// isUnanswered makes orders end without an answer, isRefused with a refusal; they are not carried out.
	isUnanswered, isRefused bool
	// sent counts the orders that were sent, lost those that were carried out while a task ran on the machine.
	sent, lost int
}

func newCordonBed(t *testing.T) *cordonBed {
	b := &cordonBed{
		fakeFleet: newFakeFleet(1), t: t, hooks: make(map[string]func()),
		workers: worker.NewFleet(func(string) time.Duration { return 0 }),
	}
	b.registration = b.workers.Add("i-m0", "p", "r", jobs.Size{CPU: 8000, Memory: 8000})
	b.startOwner()
	b.startSteward(1)
	t.Cleanup(func() { b.owner.Stop() })
	return b
}

// reach calls the hook of a moment once.
func (b *cordonBed) reach(moment string) {
	if hook := b.hooks[moment]; hook != nil {
		delete(b.hooks, moment)
		hook()
	}
}

// startOwner makes a new owner the owner of the cell and waits until it serves.
func (b *cordonBed) startOwner() {
	const key = "live/owner/p"
	revision, err := b.store.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: key, Value: []byte("v")}}})
	if err != nil {
		b.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b.owner = owner.New(owner.Config{
		Cell: "p", Store: b.store.Client(nil), Endpoints: b.workers.Client(), Condition: store.Condition{Key: key, Revision: revision},
		IsValid: func() bool { return true }, IsStoreUp: func() bool { return true },
		Bounds: jobs.DefaultBounds(), OwnedSince: boot.Now(), Log: logrus.NewEntry(log), Scope: tally.NoopScope,
		Leaving: func(ctx context.Context) ([]string, error) { return Leaving(ctx, b.store.Client(nil), "p") }, LeavingDuration: CordonDuration,
	})
	o := b.owner
	go func() { _ = o.Run() }()
	if !await.Until(5*time.Second, o.IsServing) {
		b.t.Fatal("the owner does not serve")
	}
	o.SetEndpoints([]endpoint.Registration{b.registration})
	isReached := await.Until(5*time.Second, func() bool {
		_, loads, err := o.Survey(context.Background())
		return err == nil && len(loads) == 1
	})
	if !isReached {
		b.t.Fatal("the owner does not know the endpoint")
	}
}

// startSteward makes a new steward the holder of the stewardship.
func (b *cordonBed) startSteward(epoch int64) {
	s := b.newSteward(epoch, newWave("m0"))
	commit := s.config.Store.Commit
	s.config.Store.Commit = func(ctx context.Context, change store.Change) (int64, error) {
		revision, err := commit(ctx, change)
		if err == nil && change.Puts[0].Key == stateKey {
			b.reach("stored")
		}
		return revision, err
	}
	s.config.Cells.Cordon = func(_ context.Context, _ string, ids []string, duration time.Duration, evacuate bool) ([]jobs.Load, error) {
		loads, err := b.owner.Cordon(context.Background(), ids, duration, evacuate)
		b.reach("answered")
		return loads, err
	}
	send := func() error {
		b.sent++
		b.reach("sent")
		switch {
		case b.isUnanswered:
			return cloud.ErrIndeterminate
		case b.isRefused:
			return cloud.ErrRefused
		}
		b.execute()
		return nil
	}
	s.config.Cloud.Move = func(context.Context, cloud.Holder, string, string) error { return send() }
	s.config.Cloud.Maintain = func(context.Context, cloud.Holder, string, int) error { return send() }
	if !s.loadState() || !s.listMachines(boot.Now()) {
		b.t.Fatal("the steward does not know the state or the machines")
	}
	b.steward = s
}

// execute carries out an order.
func (b *cordonBed) execute() {
	if b.workers.Running() > 0 {
		b.lost++
	}
}

// submit hands a long-running task in.
func (b *cordonBed) submit() {
	b.submitted++
	verdict, err := b.owner.Submit(context.Background(), jobs.Job{
		ID: fmt.Sprintf("%016x", b.submitted), Queue: "q", Attempts: 1,
		Steps: []jobs.Step{{Count: 1, Each: jobs.Size{CPU: 500, Memory: 10}, LongRunning: true}},
	})
	if err != nil || !verdict.IsAccepted {
		b.t.Error("the job was not accepted:", verdict.Reason, err)
	}
}

// startTime is longer than it takes until a task runs on a new endpoint.
const startTime = time.Second

// isTaskRunning waits until a task runs, for up to startTime.
func (b *cordonBed) isTaskRunning() bool {
	return await.Until(startTime, func() bool { return b.workers.Running() > 0 })
}

// order plans an operation and steps until its order is sent.
func (b *cordonBed) order(op operation) {
	op.machine, op.endpoint, op.sourcePool = "m0", "i-m0", "p"
	b.steward.addOperation(boot.Now(), &op)
	b.step()
}

// step renews the cordons and sends the orders that are due, and waits for their answers.
func (b *cordonBed) step() {
	s := b.steward
	s.cordonMachines(boot.Now())
	s.workers.Wait()
}

// stepFor steps as Run does for a duration.
func (b *cordonBed) stepFor(duration time.Duration) {
	for end := boot.Now().Add(duration); boot.Now().Before(end); time.Sleep(stepInterval) {
		b.step()
	}
}

var (
	// ownerChanges are the ways in which an owner is replaced.
	ownerChanges = map[string]func(b *cordonBed){
		"is killed": func(b *cordonBed) { b.owner.Stop(); b.startOwner() },
		"hands over": func(b *cordonBed) {
			b.owner.PrepareHandover(context.Background())
			b.owner.Stop()
			b.startOwner()
		},
		"is killed, as is the next one": func(b *cordonBed) {
			for range 2 {
				b.owner.Stop()
				b.startOwner()
			}
		},
	}
	plannedOperations = map[string]operation{"a move": {targetPool: "off"}, "maintenance": {wave: 1}}
)

// TestNextOwnerForgetsCordon guards against an owner that starts tasks on a machine that the steward orders
// since an earlier owner has said that nothing runs there.
func TestNextOwnerForgetsCordon(t *testing.T) {
	for planned, op := range plannedOperations {
		for change, replace := range ownerChanges {
			for _, moment := range []string{"answered", "stored", "sent"} {
				Convey(fmt.Sprintf("No task is at work when %s begins if the owner %s when the order is %s", planned, change, moment), t, func() {
					b := newCordonBed(t)
					b.hooks[moment] = func() {
						replace(b)
						b.submit()
						b.isTaskRunning()
					}
					b.order(op)
					So(b.hooks, ShouldBeEmpty)
					So(b.lost, ShouldEqual, 0)
					// An owner that took over before the order was stored may start tasks, and says so.
					isStarted := b.workers.Running() > 0
					So(isStarted, ShouldEqual, moment == "answered")
					So(b.sent > 0, ShouldEqual, !isStarted)
				})
			}
		}
		Convey(fmt.Sprintf("No task is at work when %s begins if the steward and then the owner are replaced when it is sent", planned), t, func() {
			b := newCordonBed(t)
			b.hooks["sent"] = func() {
				b.startSteward(2)
				if !b.steward.saveState(boot.Now(), nil) {
					t.Error("the next steward cannot store its state")
				}
				ownerChanges["is killed"](b)
				b.submit()
				b.isTaskRunning()
			}
			b.order(op)
			So(b.sent, ShouldEqual, 1)
			So(b.lost, ShouldEqual, 0)
		})
		Convey(fmt.Sprintf("No task is at work when %s begins 5 s late if the owner was killed meanwhile", planned), t, func() {
			b := newCordonBed(t)
			b.isUnanswered = true
			b.hooks["sent"] = func() {
				ownerChanges["is killed"](b)
				b.submit()
			}
			b.order(op)
			b.stepFor(5 * time.Second)
			b.execute()
			So(b.lost, ShouldEqual, 0)
		})
	}
}

// TestStoredOrderKeepsEndpointIdle guards against endpoints that get no work since an order for them was once
// stored.
func TestStoredOrderKeepsEndpointIdle(t *testing.T) {
	Convey("The next owner starts tasks at once on a machine whose order was refused", t, func() {
		b := newCordonBed(t)
		b.isRefused = true
		b.order(plannedOperations["a move"])
		So(b.sent, ShouldEqual, 1)
		b.steward.publishWaveStatus()
		ownerChanges["is killed"](b)
		b.submit()
		So(b.isTaskRunning(), ShouldBeTrue)
	})
	Convey("The next owner starts tasks after a time if no steward goes on", t, func() {
		b := newCordonBed(t)
		b.isUnanswered = true
		b.order(plannedOperations["a move"])
		ownerChanges["is killed"](b)
		b.submit()
		So(b.isTaskRunning(), ShouldBeFalse)
		So(await.Until(CordonDuration, func() bool { return b.workers.Running() > 0 }), ShouldBeTrue)
	})
	Convey("A cell is not served without knowing which endpoints are to get no work", t, func() {
		b := newCordonBed(t)
		b.owner.Stop()
		o := owner.New(owner.Config{
			Cell: "p", Store: b.store.Client(nil), Condition: b.owner.Condition(), IsValid: func() bool { return true },
			Bounds: jobs.DefaultBounds(), Log: b.steward.config.Log, Scope: tally.NoopScope,
			Leaving: func(context.Context) ([]string, error) { return nil, store.ErrRefused },
		})
		ended := make(chan error, 1)
		go func() { ended <- o.Run() }()
		select {
		case err := <-ended:
			So(err, ShouldWrap, store.ErrRefused)
		case <-time.After(5 * time.Second):
			t.Fatal("the owner serves the cell")
		}
	})
}

// TestCordonWithoutOwnerChange plays the orders that do not depend on what an owner passes on.
func TestCordonWithoutOwnerChange(t *testing.T) {
	for _, planned := range slices.Sorted(maps.Keys(plannedOperations)) {
		op := plannedOperations[planned]
		Convey("No task is started before "+planned+" without an answer that is carried out 5 s late", t, func() {
			b := newCordonBed(t)
			b.isUnanswered = true
			b.order(op)
			b.submit()
			b.stepFor(5 * time.Second)
			b.execute()
			So(b.sent, ShouldBeGreaterThan, 1)
			So(b.lost, ShouldEqual, 0)
		})
		Convey("A steward that is replaced before its state is stored sends no order for "+planned, t, func() {
			b := newCordonBed(t)
			b.hooks["answered"] = func() { b.startSteward(2) }
			b.order(op)
			So(b.sent, ShouldEqual, 0)
		})
		Convey("No task is started before "+planned+" that a replaced steward has sent", t, func() {
			b := newCordonBed(t)
			b.hooks["sent"] = func() {
				b.startSteward(2)
				b.submit()
				b.isTaskRunning()
			}
			b.order(op)
			So(b.sent, ShouldEqual, 1)
			So(b.lost, ShouldEqual, 0)
		})
	}
}
