package submitter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// WaitHeader says how long the caller waits, as a duration such as "3s".
const WaitHeader = "Wait"

// NewCodec returns the product's own form: a job in the JSON form of package
// jobs, answers as objects with one field, the key as a bearer token.
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

// decodeJob reads a job. Fields that are not known are refused, since what a
// submitter asks for must not be passed over.
func decodeJob(body []byte) (job jobs.Job, err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		return jobs.Job{}, fmt.Errorf("the body is not a job: %w", err)
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
