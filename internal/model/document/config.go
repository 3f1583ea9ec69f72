package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/google/uuid"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/units"
)

// Config is a document as it lies in the platform.
type Config struct {
	// ID is unique to each write, so that a lost reply can be settled.
	ID string `json:"id"`
	// Revision counts accepted documents from 1. It never goes back.
	Revision uint64 `json:"revision"`
	// Digest is the SHA-256 of the document, in hexadecimal.
	Digest string `json:"digest"`
	// History holds the teams' limits from the oldest revision that may still
	// be in force somewhere up to this one.
	History []units.Limits `json:"history"`
	// Document is the document as the operator wrote it.
	Document json.RawMessage `json:"document"`
}

// NewConfig wraps a checked document as the successor of the revision before.
// The history is that of the revisions that may still be in force.
func NewConfig(before uint64, history []units.Limits, parsed Document) (config Config, err error) {
	defer fault.Annotate(&err, "wrapping the document")
	text, err := json.Marshal(parsed)
	if err != nil {
		return Config{}, err
	}
	config = Config{
		ID:       uuid.NewString(),
		Revision: before + 1,
		Digest:   digest(text),
		Document: text,
	}
	config.History = append(append(config.History, history...), parsed.Limits(config.Revision))
	return config, nil
}

// ParseConfig reads a Config and checks its digest and document.
func ParseConfig(data []byte) (config Config, parsed Document, err error) {
	defer fault.Annotate(&err, "reading the config")
	if err = json.Unmarshal(data, &config); err != nil {
		return Config{}, Document{}, err
	}
	if digest(config.Document) != config.Digest {
		return Config{}, Document{}, &DigestError{Revision: config.Revision}
	}
	parsed, err = Parse(config.Document)
	return config, parsed, err
}

// DigestError reports a config whose document does not match its digest.
type DigestError struct {
	Revision uint64
}

// Error implements error.
func (e *DigestError) Error() string {
	return "the document does not match its digest"
}

// Limits returns the limits of all teams as those of a revision.
func (d Document) Limits(revision uint64) units.Limits {
	limits := units.Limits{Revision: revision, Units: make(map[string]uint32, len(d.Teams))}
	for _, t := range d.Teams {
		limits.Units[t.Name] = t.Limit
	}
	return limits
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
