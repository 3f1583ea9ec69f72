package jobs

import (
	"encoding/json"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs/forecast"
)

// kindOf describes the tasks of a step for the forecaster.
func (j *job) kindOf(number int) forecast.Task {
	s := &j.Steps[number]
	return forecast.Task{Image: s.Image, Queue: j.Queue, Account: j.Account, Step: number, Declared: s.Estimate}
}

// isRepresentative reports whether the duration of a run shows how long its kind of task
// runs. It does not if its start is not known, or if it began on a cold endpoint, was resumed
// from a checkpoint, uses only idle processor time or ran away from its data.
func (r *run) isRepresentative() bool {
	s := r.task.step
	isAway := s.Affinity != "" && s.Affinity != r.endpoint.Rack
	isStartKnown := !r.orderedAt.IsZero() && !r.confirmedAt.IsZero()
	return isStartKnown && !s.LongRunning && !s.Fills && !r.isResumed && !isAway && !r.hasBegunCold()
}

// observeRun learns from a run that completed its task.
func (c *Cell) observeRun(now time.Time, r *run) {
	if c.runTimes.forecaster == nil || !r.isRepresentative() {
		return
	}
	s := r.task.step
	duration := now.Sub(r.confirmedAt)
	c.runTimes.forecaster.Observe(forecast.Run{
		Task: s.occurrence.job.kindOf(s.number), Duration: duration, Tasks: s.Count, Siblings: s.learned,
	})
	if r.task.runTime == 0 {
		s.learned++
	}
	r.task.runTime = float32(duration.Seconds())
}

// observeCensored learns from a run that was ended before its work was done.
func (c *Cell) observeCensored(now time.Time, r *run) {
	if c.runTimes.forecaster == nil || !r.isRepresentative() {
		return
	}
	s := r.task.step
	c.runTimes.forecaster.Observe(forecast.Run{
		Task: s.occurrence.job.kindOf(s.number), Duration: now.Sub(r.confirmedAt), Tasks: s.Count, Siblings: s.learned,
		IsCensored: true,
	})
}

// observeStep learns how the tasks of a step differ, once all of them are done and were
// learned from.
func (c *Cell) observeStep(s *step) {
	if c.runTimes.forecaster == nil || s.learned < s.Count {
		return
	}
	seconds := make([]float64, 0, s.Count)
	for _, t := range s.tasks {
		seconds = append(seconds, float64(t.runTime))
	}
	c.runTimes.forecaster.ObserveStep(s.occurrence.job.kindOf(s.number), seconds)
}

// exportLearned returns what the forecaster has learned, nil if there is none.
func (t *runTimes) exportLearned() json.RawMessage {
	if t.forecaster == nil {
		return nil
	}
	data, err := json.Marshal(t.forecaster.Export())
	if err != nil {
		// A state has only numbers and texts, which can be encoded if they are finite.
		return nil
	}
	return data
}

// restoreLearned loads what an earlier owner has learned. What cannot be read is lost.
func (t *runTimes) restoreLearned(data json.RawMessage) {
	if t.forecaster == nil || len(data) == 0 {
		return
	}
	var state forecast.State
	if err := json.Unmarshal(data, &state); err != nil {
		return
	}
	// The forecaster is left empty on an error.
	_ = t.forecaster.Restore(state)
}

// RunTimes returns the expected run times by queue and step and how accurate they have been,
// nil without Config.IsForecasting.
func (c *Cell) RunTimes() []forecast.Report {
	if c.runTimes.forecaster == nil {
		return nil
	}
	return c.runTimes.forecaster.Reports()
}
