package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Size is an amount of an endpoint's resources.
type Size struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// Memory is in megabytes.
	Memory int64 `json:"mem,omitempty"`
	// GPUs is a number of whole devices.
	GPUs int64 `json:"gpu,omitempty"`
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size {
	return Size{s.CPU + o.CPU, s.Memory + o.Memory, s.GPUs + o.GPUs}
}

// Minus returns the difference of two sizes.
func (s Size) Minus(o Size) Size {
	return Size{s.CPU - o.CPU, s.Memory - o.Memory, s.GPUs - o.GPUs}
}

// Times returns a multiple of the size.
func (s Size) Times(n int64) Size {
	return Size{s.CPU * n, s.Memory * n, s.GPUs * n}
}

// Fits tells whether the size is within a room in every resource.
func (s Size) Fits(room Size) bool {
	return s.CPU <= room.CPU && s.Memory <= room.Memory && s.GPUs <= room.GPUs
}

// IsZero tells whether nothing is asked.
func (s Size) IsZero() bool { return s == Size{} }

// Step is a set of like tasks of a job.
type Step struct {
	// Count is the number of tasks, Each the size of one.
	Count int  `json:"n"`
	Each  Size `json:"each"`
	// Estimate is the submitter's guess of a task's run time.
	Estimate time.Duration `json:"est,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoint says that tasks save their progress.
	Checkpoint bool `json:"save,omitempty"`
	// Gang says that tasks work only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that a gang is slow across racks.
	SameRack bool `json:"tight,omitempty"`
	// Requires is a label that the endpoint must have, Affinity the rack where
	// the tasks run fastest.
	Requires string `json:"label,omitempty"`
	Affinity string `json:"near,omitempty"`
	// AntiAffinity is the most tasks of the step on one endpoint, 0 for any.
	AntiAffinity int `json:"apart,omitempty"`
	// Speculative says that copies of a task may run at the same time.
	Speculative bool `json:"twice,omitempty"`
	// LongRunning says that tasks run until the job is cancelled.
	LongRunning bool `json:"lasts,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// Target bounds the tail latency of what the task serves.
	Target time.Duration `json:"target,omitempty"`
	// Fills says that the task takes the processor time that others leave.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable is how many long-running tasks may be away by planned work,
	// 0 if it is not bounded.
	MaxUnavailable int `json:"away,omitempty"`
}

// Reserved returns what a task of the step takes from its endpoint's room.
func (s *Step) Reserved() Size {
	if s.Fills {
		return Size{Memory: s.Each.Memory, GPUs: s.Each.GPUs}
	}
	return s.Each
}

// Job is a job as its submitter handed it in, with what the configuration said
// of its queue at that time.
type Job struct {
	ID string `json:"id"`
	// Queue names the queue, Account the client account, empty in queues that
	// are open to all.
	Queue   string `json:"queue"`
	Account string `json:"account,omitempty"`
	// Spec is opaque; it is handed to the endpoints.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// First, Interval and Times describe the occurrences of a timed job.
	First    time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"every,omitempty"`
	Times    int           `json:"times,omitempty"`
	// Priority 0 comes first. Attempts bounds the failed runs of a task.
	Priority int `json:"prio,omitempty"`
	Attempts int `json:"tries,omitempty"`
	// Stretch and Target give the objective: Stretch times the longest chain of
	// work, and Target more.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"goal,omitempty"`
	// Advised says that the queue's policy allows only some endpoints.
	Advised bool `json:"advised,omitempty"`
}

// IsLasting tells whether the job runs until it is cancelled.
func (j *Job) IsLasting() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// IDLength is the length of a job's ID in hexadecimal digits.
const IDLength = 16

// IsID tells whether a text is a job's ID.
func IsID(text string) bool {
	if len(text) != IDLength {
		return false
	}
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Bounds on what a job may ask for.
const (
	maxSteps = 1000
	maxTasks = 100000
	maxSpec  = 4000
)

// SpecError is a fault of a submitted job.
type SpecError struct {
	// Step is the number of the step, -1 for the job as a whole.
	Step   int
	Reason string
}

// Error implements error.
func (s *SpecError) Error() string {
	if s.Step < 0 {
		return s.Reason
	}
	return fmt.Sprintf("step %d: %s", s.Step, s.Reason)
}

// Check tells the first fault of a job.
func (j *Job) Check() error {
	switch {
	case !IsID(j.ID):
		return &SpecError{-1, fmt.Sprintf("the ID is not %d hexadecimal digits", IDLength)}
	case len(j.Spec) > maxSpec:
		return &SpecError{-1, fmt.Sprintf("the spec is longer than %d bytes", maxSpec)}
	case len(j.Steps) == 0:
		return &SpecError{-1, "there is no step"}
	case len(j.Steps) > maxSteps:
		return &SpecError{-1, fmt.Sprintf("there are more than %d steps", maxSteps)}
	case j.Times < 0 || j.Interval < 0:
		return &SpecError{-1, "times or interval is negative"}
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	if tasks > maxTasks {
		return &SpecError{-1, fmt.Sprintf("there are more than %d tasks", maxTasks)}
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 {
		return &SpecError{number, "the count is not positive"}
	}
	if s.Each.CPU < 0 || s.Each.Memory < 0 || s.Each.GPUs < 0 || s.AntiAffinity < 0 || s.MaxUnavailable < 0 {
		return &SpecError{number, "a size or limit is negative"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return &SpecError{number, fmt.Sprintf("it waits for step %d, which is not an earlier one", earlier)}
		}
	}
	return nil
}

// TaskName identifies a task within its cell.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name as endpoints know it.
func (t TaskName) String() string {
	text := make([]byte, 0, len(t.Job)+12)
	text = append(text, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		text = append(text, '.')
		text = strconv.AppendInt(text, int64(n), 10)
	}
	return string(text)
}

// ParseTaskName reads a task's name.
func ParseTaskName(text string) (name TaskName, ok bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	name.Job = parts[0]
	for i, target := range []*int{&name.Occurrence, &name.Step, &name.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		*target = n
	}
	return name, true
}
