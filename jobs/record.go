package jobs

import "time"

// Record is one change of a cell's durable state. Exactly one field is set.
type Record struct {
	// Job is a job that was accepted.
	Job *Job `json:"job,omitempty"`
	// Cancel is the ID of a job whose cancelling was accepted.
	Cancel string `json:"cancel,omitempty"`
	// Put is a run that may be started from now on.
	Put *Placement `json:"put,omitempty"`
	// End is a run that ended in a way that lasts.
	End *End `json:"end,omitempty"`
}

// Placement says which endpoint may start a run of a task.
type Placement struct {
	Task     string `json:"t"`
	Run      int    `json:"r"`
	Endpoint string `json:"e"`
	// Born tells the lives of an endpoint apart, in Unix milliseconds.
	Born int64 `json:"b,omitempty"`
}

// End is the end of a run.
type End struct {
	Task string `json:"t"`
	Run  int    `json:"r"`
	How  How    `json:"how"`
	// Saved is the checkpoint that the run left, empty if none.
	Saved string `json:"save,omitempty"`
}

// How says in which way a run ended.
type How string

// The ways in which a run ends.
const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	// Lapsed runs were killed since their grant ran out.
	Lapsed How = "lapsed"
	// Broken runs ended since another member of their gang did.
	Broken How = "broken"
	// Alone runs waited too long for the other members of their gang.
	Alone How = "alone"
)

// Listing is what an endpoint says of its runs at one moment of its clock.
type Listing struct {
	Endpoint string
	// Born tells the lives of an endpoint apart, in Unix milliseconds.
	Born int64
	// Clock is the endpoint's clock, in milliseconds since its start.
	Clock   int64
	Running []Listed
	Ended   []ListedEnd
}

// Listed is a run that an endpoint has at work.
type Listed struct {
	Task  string
	Run   int
	Saved string
	// Percent is the progress; of a long-running task, 100 says that it is at
	// work.
	Percent int
	// Figure is a rough reading over the last half second: of a task that serves
	// the tail latency in milliseconds, of others the processor time in use in
	// thousandths of a core.
	Figure int
}

// ListedEnd is the end of a run as an endpoint lists it.
type ListedEnd struct {
	// Number counts the ends in one life of the endpoint from 1.
	Number int64
	End    End
}

// Start is an order to start a run.
type Start struct {
	Endpoint string
	Task     string
	Run      int
	Spec     string
	Saved    string
	Ticket   string
	// Until is the end of the grant on the endpoint's clock, in milliseconds.
	Until int64
}

// Stop is an order to stop a run.
type Stop struct {
	Endpoint string
	Task     string
	Run      int
	Why      string
}

// Pace is an order to let a run work at a share of its speed.
type Pace struct {
	Endpoint string
	Task     string
	Run      int
	Percent  int
}

// Answer is what came of an order.
type Answer int

// The answers to orders.
const (
	// Accepted orders are carried out.
	Accepted Answer = iota
	// Refused orders were certainly not carried out and may be given again.
	Refused
	// NoRoom refuses a start that does not fit.
	NoRoom
	// Outrun refuses a start whose run is not above one that ended there.
	Outrun
	// Expired refuses a start whose grant had run out.
	Expired
	// BadTicket refuses a start whose ticket does not hold.
	BadTicket
	// Fenced orders were refused since a later owner has been there.
	Fenced
	// OtherLife orders met another life of the endpoint.
	OtherLife
	// Unhealthy endpoints refused to do anything.
	Unhealthy
	// Unanswered orders may be carried out, now or later.
	Unanswered
)

// State is what a submitter sees of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Broke     State = "failed"
	Cancelled State = "cancelled"
)

// Bounds are the figures of an installation.
type Bounds struct {
	// Grant is how long an endpoint runs tasks without hearing from the owner.
	Grant time.Duration
	// ClockSlack is the share by which an endpoint's clock may be slow.
	ClockSlack float64
	// Kept is how long an ended job stays known.
	Kept time.Duration
}

// DefaultBounds are working figures for a stand-alone installation.
func DefaultBounds() Bounds {
	return Bounds{
		Grant:      5 * time.Second,
		ClockSlack: 0.02,
		Kept:       2 * time.Minute,
	}
}
