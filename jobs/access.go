package jobs

// Caller is who asks for a job, and through which queue.
type Caller struct {
	// Queue names the queue and Path says where it is. Path is empty if the caller does not know it.
	Queue, Path string
	// Setup is the store revision of the configuration that has the queue there.
	Setup int64
	// Account is the client account of the caller's key, empty if the queue needs none.
	Account string
}

// Access is whether a caller may ask for a job.
type Access int

// The values of Access.
const (
	// NoSuchJob means that the cell has no job with the ID.
	NoSuchJob Access = iota
	// Denied means that the job is that of another client account or queue.
	Denied
	// Undecided means that it takes the caller's configuration, or a later one, to tell.
	Undecided
	// Allowed means that the caller may ask for the job.
	Allowed
)

// Access returns whether a caller may ask for the job with an ID: by a key of the job's client account,
// or through the queue that the job belongs to, if that needs no key now or needed none then.
func (c *Cell) Access(id string, caller Caller) Access {
	j := c.jobs[id]
	switch {
	case j == nil:
		return NoSuchJob
	case caller.Account != "" && caller.Account == j.Account:
		return Allowed
	case caller.Account != "" && j.Account != "":
		return Denied
	}
	return c.belonging(&j.Job, caller)
}

// belonging returns whether a job belongs to the caller's queue: that is the one at the path of the job or, if
// no queue is there any more, the one with the name that the job's queue had. Without a path the
// name decides.
func (c *Cell) belonging(j *Job, caller Caller) Access {
	switch {
	case j.Path == "" || caller.Path == "":
		return allowedIf(j.Queue == caller.Queue)
	case j.Path == caller.Path:
		return Allowed
	case j.Queue != caller.Queue:
		return Denied
	}
	name, setup := c.config.QueueAt(j.Path)
	if setup < caller.Setup {
		return Undecided
	}
	return allowedIf(name == "" || name == caller.Queue)
}

func allowedIf(isAllowed bool) Access {
	if isAllowed {
		return Allowed
	}
	return Denied
}

// queueOf returns the name of the queue that a job belongs to, or of the one that it was submitted to if
// no queue is at its path any more.
func (c *Cell) queueOf(j *Job) string {
	if name, _ := c.config.QueueAt(j.Path); name != "" {
		return name
	}
	return j.Queue
}
