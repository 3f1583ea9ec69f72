package jobs

import "time"

// Record is one change of a cell's durable state. Exactly one field is set.
type Record struct {
	// Job is a job that was accepted.
	Job *Job `json:"job,omitempty"`
	// Cancel is the ID of a job whose cancellation was accepted.
	Cancel string `json:"cancel,omitempty"`
	// Placement is the placement of a run, which may be started once this is stored.
	Placement *Placement `json:"put,omitempty"`
	// End is the end of a run that completed or failed. Other ends, and those of
	// long-running tasks, are not stored.
	End *End `json:"end,omitempty"`
	// Suspect is a task that has probably crashed its endpoint.
	Suspect *Suspect `json:"suspect,omitempty"`
	// Survival is the survival of an endpoint on which a suspect task was started.
	Survival *Survival `json:"up,omitempty"`
	// Stray is a grant that has strayed to another incarnation than the one that it was meant for.
	Stray *StrayGrant `json:"stray,omitempty"`
	// Open is an endpoint that may carry out starts of runs that count as lost.
	Open *OpenStart `json:"open,omitempty"`
	// GivenUp is the name of a task that was given up because it crashes its endpoints.
	GivenUp string `json:"quit,omitempty"`
	// Owner is the epoch of an owner that begins to serve the cell. It changes no state:
	// its presence after a snapshot tells that what the snapshot says of grants is outdated.
	Owner int64 `json:"owner,omitempty"`
}

// Placement assigns a run of a task to an endpoint.
type Placement struct {
	Task     string `json:"t"`
	Run      int    `json:"r"`
	Endpoint string `json:"e"`
	// Born is the start time of the endpoint's incarnation, in Unix milliseconds.
	Born int64 `json:"b,omitempty"`
	// Suspicion is what was known against the task before this run, nil if nothing.
	Suspicion *Suspicion `json:"c,omitempty"`
}

// End is the end of a run.
type End struct {
	Task    string  `json:"t"`
	Run     int     `json:"r"`
	Outcome Outcome `json:"how"`
	// Saved is the checkpoint that the run left, empty if none.
	Saved string `json:"save,omitempty"`
}

// Outcome is the way in which a run ended.
type Outcome string

// The ways in which a run ends.
const (
	// Done means that the run finished its work.
	Done Outcome = "done"
	// Failed means that the run ended with an error.
	Failed Outcome = "failed"
	// Stopped means that the endpoint ended the run by order.
	Stopped Outcome = "stopped"
	// Lapsed means that the endpoint killed the run because its grant expired.
	Lapsed Outcome = "lapsed"
	// GangBroken means that the run ended because another member of its gang did.
	GangBroken Outcome = "broken"
	// GangTimedOut means that the run waited too long for the other members of its
	// gang.
	GangTimedOut Outcome = "alone"
)

// Listing is the list of an endpoint's runs at one moment.
type Listing struct {
	Endpoint string
	// AskedAt is when the owner asked for the listing.
	AskedAt time.Time
	// Born is the start time of the endpoint's incarnation, in Unix milliseconds.
	Born int64
	// FormerBorn is the incarnation that had listed its runs on the same connection before, 0 if none had
	// or the transport does not know.
	FormerBorn int64
	// IsBound reports that polls carry grants only on connections on which the incarnation that they are
	// meant for has listed its runs.
	IsBound bool
	// Clock is the endpoint's clock at that moment, in milliseconds since its
	// start.
	Clock   int64
	Running []ListedRun
	// Ended are the ends of runs that the owner has not acknowledged yet, in ascending
	// order. MayOmitEnds reports that there may be further ones, which the endpoint
	// lists once these are acknowledged.
	Ended       []ListedEnd
	MayOmitEnds bool
}

// isForwarded reports whether the listing came over a connection that has outlived an incarnation, as
// behind a forwarder.
func (l Listing) isForwarded() bool { return l.FormerBorn != 0 && l.FormerBorn != l.Born }

// ListedRun is a run that an endpoint lists as running.
type ListedRun struct {
	Task string
	Run  int
	// Saved is the last checkpoint of the run, empty if none.
	Saved string
	// Percent is the progress of the run. For a long-running task, 100 means that
	// it is up.
	Percent int
	// Measurement is an approximate measurement over the last half second: the tail
	// latency in milliseconds for a task that serves requests, the CPU use in
	// thousandths of a core for others.
	Measurement int
}

// ListedEnd is the end of a run as an endpoint lists it.
type ListedEnd struct {
	// Number counts the ends in one incarnation of the endpoint from 1.
	Number int64
	End    End
}

// Start is an order to start a run.
type Start struct {
	Endpoint string
	Task     string
	Run      int
	// Spec is the job's spec, Saved the checkpoint to resume from, empty if none.
	Spec  string
	Saved string
	// Ticket proves to the endpoint that the queue's policy allows the placement,
	// empty if the queue has none.
	Ticket string
	// Until is the expiry of the grant on the endpoint's clock, in milliseconds.
	Until int64
	// Born is the start time of the endpoint's incarnation that was known when the order
	// was given. It is not sent to the endpoint, but no other incarnation may get the start.
	Born int64
}

// Stop is an order to stop a run.
type Stop struct {
	Endpoint string
	Task     string
	Run      int
	// Born is the incarnation that was known when the order was given. Any other one may get the stop, too.
	Born int64
	// Reason is for logs only; it is not sent to the endpoint.
	Reason string
}

// Pace is an order to limit a run to a percentage of its full speed.
type Pace struct {
	Endpoint string
	Task     string
	Run      int
	Percent  int
}

// Reply is what the sender of an order learned about it.
type Reply struct {
	Answer Answer
	// Clock is the endpoint's clock in the answer, in milliseconds since its start, 0 if
	// there is none.
	Clock int64
	// ConnectedAt is when the connection that carried the order had been opened, zero if
	// that is unknown. A connection may outlive the incarnation of the endpoint that it was
	// opened to, for instance behind a forwarder.
	ConnectedAt time.Time
	// IsBound reports that a start is sent only on a connection on which the incarnation that it is meant
	// for has listed its runs.
	IsBound bool
	// IsSilent reports that no answer came while the connection was open. Something that forwards it
	// may still hold the order, and deliver it to a later incarnation.
	IsSilent bool
}

// Answer is the result of an order.
type Answer int

// The results of orders.
const (
	// Accepted means that the endpoint carries the order out.
	Accepted Answer = iota
	// Refused means that the order was not carried out and may be given again.
	Refused
	// NoRoom means that the run does not fit on the endpoint.
	NoRoom
	// StaleRun means that the number of the run is not above that of a run of the
	// task that already ended or was stopped on the endpoint.
	StaleRun
	// Expired means that the grant had expired when the start arrived.
	Expired
	// BadTicket means that the ticket of the start is not valid.
	BadTicket
	// Fenced means that the endpoint has already answered a call of a later owner.
	Fenced
	// OtherIncarnation means that the order was meant for another incarnation of the
	// endpoint.
	OtherIncarnation
	// ConnectionRefused means that nothing listens at the address of the endpoint, so the
	// order was not carried out and the endpoint has ended.
	ConnectionRefused
	// Unhealthy means that the endpoint cannot carry out any order at present.
	Unhealthy
	// Unanswered means that no answer arrived, or one that does not rule out an
	// effect: the order may have been carried out, or still be carried out later.
	Unanswered
)

// mayHaveGranted reports whether an endpoint that gave this answer to a start may have taken
// its grant.
func (a Answer) mayHaveGranted() bool {
	return a == Accepted || a == NoRoom || a == StaleRun || a == Unanswered
}

// State is the state of a job as its submitter sees it.
type State string

// The states of a job.
const (
	// Queued means that no task has started yet.
	Queued State = "queued"
	// Running means that a task has started.
	Running State = "running"
	// Completed means that all tasks of all occurrences are done.
	Completed State = "completed"
	// JobFailed means that a task has failed Job.Attempts times, or crashes its endpoints.
	JobFailed State = "failed"
	// Cancelled means that the job was ended on request.
	Cancelled State = "cancelled"
)

// Bounds are the time limits of an installation.
type Bounds struct {
	// Grant is how long an endpoint goes on running tasks without contact with
	// the owner.
	Grant time.Duration
	// MaxGrant is the longest grant that an endpoint accepts. One that was meant for the
	// clock of an earlier incarnation lasts that long on the next one, whose clock starts
	// anew.
	MaxGrant time.Duration
	// ClockSlack is the largest fraction by which an endpoint's clock may run
	// slow.
	ClockSlack float64
	// Retention is how long the state of an ended job remains available.
	Retention time.Duration
}

// DefaultBounds returns limits that suit a stand-alone installation.
func DefaultBounds() Bounds {
	return Bounds{
		Grant:      5 * time.Second,
		MaxGrant:   10 * time.Second,
		ClockSlack: 0.02,
		Retention:  2 * time.Minute,
	}
}

// longestGrant returns the longest time for which a grant can last on an endpoint, on the
// owner's clock.
func (b Bounds) longestGrant() time.Duration {
	return time.Duration(float64(max(b.MaxGrant, b.Grant)) / (1 - b.ClockSlack))
}
