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

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{s.CPU + o.CPU, s.Memory + o.Memory, s.GPUs + o.GPUs}
}

// Minus returns s less o. Resources of the result may be negative.
func (s Size) Minus(o Size) Size {
	return Size{s.CPU - o.CPU, s.Memory - o.Memory, s.GPUs - o.GPUs}
}

// Times returns n times s.
func (s Size) Times(n int64) Size {
	return Size{s.CPU * n, s.Memory * n, s.GPUs * n}
}

// Fits reports whether s is at most the available size in every resource.
func (s Size) Fits(available Size) bool {
	return s.CPU <= available.CPU && s.Memory <= available.Memory && s.GPUs <= available.GPUs
}

// IsZero reports whether s is zero in every resource.
func (s Size) IsZero() bool { return s == Size{} }

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks, Each the size of one.
	Count int  `json:"n"`
	Each  Size `json:"each"`
	// Estimate is a task's run time as estimated by the submitter.
	Estimate time.Duration `json:"est,omitempty"`
	// After lists the numbers of earlier steps whose tasks must all be done
	// before the tasks of this step start.
	After []int `json:"after,omitempty"`
	// Checkpoint reports that tasks save their progress.
	Checkpoint bool `json:"save,omitempty"`
	// Gang reports that tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack reports that the gang is slower if its tasks are on several racks.
	SameRack bool `json:"tight,omitempty"`
	// Requires is a label that the endpoint must have, Affinity the rack where
	// the tasks run fastest.
	Requires string `json:"label,omitempty"`
	Affinity string `json:"near,omitempty"`
	// AntiAffinity is the largest number of tasks of the step on one endpoint,
	// 0 for no limit.
	AntiAffinity int `json:"apart,omitempty"`
	// Speculative reports that copies of a task may run at the same time.
	Speculative bool `json:"twice,omitempty"`
	// LongRunning reports that tasks run until the job is cancelled.
	LongRunning bool `json:"lasts,omitempty"`
	// Image names the program; tasks of the same image behave alike.
	Image string `json:"image,omitempty"`
	// Target is the upper limit of the tail latency of a task that serves
	// requests, 0 for none.
	Target time.Duration `json:"target,omitempty"`
	// Fills reports that the task uses only CPU time that other tasks on its
	// endpoint leave idle.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable is the largest number of long-running tasks of the step that
	// planned work may make unavailable at a time, 0 for no limit.
	MaxUnavailable int `json:"away,omitempty"`
}

// Reserved returns the capacity that a task of the step reserves on its endpoint:
// all of its size, except for the CPU of a task that uses only idle CPU time.
func (s *Step) Reserved() Size {
	if s.Fills {
		return Size{Memory: s.Each.Memory, GPUs: s.Each.GPUs}
	}
	return s.Each
}

// Job is a job as submitted, together with the settings of its queue at that time.
type Job struct {
	ID string `json:"id"`
	// Queue names the queue and Path says where it was, both as of the submission; jobs
	// that were stored by earlier versions have no path. Account is the client account, empty in queues
	// that are open to all.
	Queue   string `json:"queue"`
	Path    string `json:"path,omitempty"`
	Account string `json:"account,omitempty"`
	// Spec is passed to the endpoints unread.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// First, Interval and Times schedule the occurrences of a timed job: Times
	// occurrences, the first at First and the others at Interval after each other.
	// Times is 0 for a job that is not timed.
	First    time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"every,omitempty"`
	Times    int           `json:"times,omitempty"`
	// Priority is the rank of the job; 0 is the highest. Attempts is the number
	// of failed runs of a task at which the job fails, 0 for no limit.
	Priority int `json:"prio,omitempty"`
	Attempts int `json:"tries,omitempty"`
	// Stretch and Target define the objective for the time from submission to
	// completion: Stretch times the run time of the longest chain of steps, plus
	// Target.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"goal,omitempty"`
	// Advised reports that the queue's policy allows tasks only on endpoints for
	// which the cell holds a ticket.
	Advised bool `json:"advised,omitempty"`
}

// IsLongRunning reports whether the job runs until it is cancelled.
func (j *Job) IsLongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Occurrences returns the number of occurrences, 1 for a job that is not timed.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// tasksPerOccurrence returns the number of tasks of an occurrence.
func (j *Job) tasksPerOccurrence() (count int) {
	for i := range j.Steps {
		count += j.Steps[i].Count
	}
	return count
}

// IDLength is the length of a job's ID in hexadecimal digits.
const IDLength = 16

// IsID reports whether text has the form of a job ID.
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

// Limits on the size of a job. Check applies them; a decoder can use them to stop early.
const (
	// MaxSteps is the largest number of steps.
	MaxSteps = 1000
	// MaxTasks is the largest number of tasks of all steps together.
	MaxTasks = 100000
	// MaxSpecBytes is the largest length of the spec.
	MaxSpecBytes = 4000
)

// SpecError describes why a submitted job is invalid. Its text reaches the
// submitter.
type SpecError struct {
	// Step is the number of the step, -1 for the job as a whole.
	Step   int
	Reason string
}

// Error implements the error interface.
func (s *SpecError) Error() string {
	if s.Step < 0 {
		return s.Reason
	}
	return fmt.Sprintf("step %d: %s", s.Step, s.Reason)
}

// TooManySteps returns the error of a job with more than MaxSteps steps.
func TooManySteps() *SpecError {
	return &SpecError{-1, fmt.Sprintf("there are more than %d steps", MaxSteps)}
}

// SpecTooLong returns the error of a job whose spec has more than MaxSpecBytes bytes.
func SpecTooLong() *SpecError {
	return &SpecError{-1, fmt.Sprintf("the spec is longer than %d bytes", MaxSpecBytes)}
}

// Check validates a submitted job. It returns the first fault as a *SpecError, nil
// if there is none.
func (j *Job) Check() error {
	switch {
	case !IsID(j.ID):
		return &SpecError{-1, fmt.Sprintf("the ID is not %d hexadecimal digits", IDLength)}
	case len(j.Spec) > MaxSpecBytes:
		return SpecTooLong()
	case len(j.Steps) == 0:
		return &SpecError{-1, "there is no step"}
	case len(j.Steps) > MaxSteps:
		return TooManySteps()
	case j.Times < 0 || j.Interval < 0:
		return &SpecError{-1, "times or interval is negative"}
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		// Counts beyond the limit are not added, as their sum could overflow.
		tasks += min(j.Steps[i].Count, MaxTasks+1)
	}
	if tasks > MaxTasks {
		return &SpecError{-1, fmt.Sprintf("there are more than %d tasks", MaxTasks)}
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

// String returns the name as used in orders and listings: the job ID, occurrence,
// step and index, separated by dots.
func (t TaskName) String() string {
	text := make([]byte, 0, len(t.Job)+12)
	text = append(text, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		text = append(text, '.')
		text = strconv.AppendInt(text, int64(n), 10)
	}
	return string(text)
}

// ParseTaskName parses the result of TaskName.String. It does not check that the
// task exists.
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
