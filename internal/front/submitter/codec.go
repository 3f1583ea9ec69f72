package submitter

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// WaitHeader is the request header with the time that the submitter waits for the
// response, as a duration such as "3s".
const WaitHeader = "Wait"

// NewCodec returns the native Codec: jobs in the JSON format of package jobs, responses
// as JSON objects with one field, and the key as a bearer token. A WaitHeader that is
// missing or invalid counts as none.
func NewCodec() Codec {
	return Codec{
		Job: decodeJob,
		State: func(state jobs.State) []byte {
			return encode(struct {
				State jobs.State `json:"state"`
			}{state})
		},
		Pending: func(count int) []byte {
			return encode(struct {
				Pending int `json:"pending"`
			}{count})
		},
		Error: func(reason string) []byte {
			return encode(struct {
				Error string `json:"error"`
			}{reason})
		},
		Key: func(r *http.Request) string {
			key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			return key
		},
		Wait: func(r *http.Request) time.Duration {
			wait, err := time.ParseDuration(r.Header.Get(WaitHeader))
			if err != nil {
				return 0
			}
			return wait
		},
	}
}

// wireJob and wireStep are a job and a step as decoded from a body.
type (
	wireJob struct {
		jobs.Job
		Steps []wireStep `json:"steps"`
	}
	wireStep struct {
		jobs.Step
		After Numbers `json:"after"`
	}
)

// decodeJob parses a job within the limits of LimitBody. Unknown fields are an error, because a request of the
// submitter must not be ignored silently.
func decodeJob(body []byte) (job jobs.Job, err error) {
	body, count, err := LimitBody(body)
	if err != nil {
		return jobs.Job{}, err
	}
	var wire wireJob
	if count > 0 {
		wire.Steps = make([]wireStep, 0, count)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return jobs.Job{}, InvalidBody(err)
	}
	job = wire.Job
	if wire.Steps != nil {
		job.Steps = make([]jobs.Step, 0, len(wire.Steps))
	}
	for i := range wire.Steps {
		step := &wire.Steps[i]
		step.Step.After = step.After
		job.Steps = append(job.Steps, step.Step)
	}
	return job, nil
}

func encode(body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // Structs of texts and numbers always encode.
	}
	return data
}
