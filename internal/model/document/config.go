package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/google/uuid"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/units"
)

// Config is a document as it is stored in the platform.
type Config struct {
	// ID is unique to each write, so that a writer whose reply was lost can recognise
	// its own write.
	ID string `json:"id"`
	// Revision is the number of the accepted document, from 1. It never decreases.
	Revision uint64 `json:"revision"`
	// Digest is the SHA-256 digest of Document in hexadecimal.
	Digest string `json:"digest"`
	// History holds the limits of the teams for each revision from the oldest that may
	// still be in force at any entry up to this one.
	History []units.Limits `json:"history"`
	// Document is the operators' document as JSON.
	Document json.RawMessage `json:"document"`
}

// NewConfig wraps a checked document in a Config with the revision after previous.
// history holds the limits of all earlier revisions that may still be in force.
func NewConfig(previous uint64, history []units.Limits, parsed Document) (config Config, err error) {
	defer fault.Annotate(&err, "wrapping the document")
	text, err := json.Marshal(parsed)
	if err != nil {
		return Config{}, err
	}
	config = Config{
		ID:       uuid.NewString(),
		Revision: previous + 1,
		Digest:   hexDigest(text),
		Document: text,
	}
	config.History = append(append(config.History, history...), parsed.Limits(config.Revision))
	return config, nil
}

// ParseConfig decodes a Config and its document and checks both. The error is a
// *DigestError if the digest does not match.
func ParseConfig(data []byte) (config Config, parsed Document, err error) {
	defer fault.Annotate(&err, "reading the config")
	if err = json.Unmarshal(data, &config); err != nil {
		return Config{}, Document{}, err
	}
	if hexDigest(config.Document) != config.Digest {
		return Config{}, Document{}, &DigestError{Revision: config.Revision}
	}
	parsed, err = Parse(config.Document)
	return config, parsed, err
}

// DigestError reports a Config whose document does not match its digest.
type DigestError struct {
	Revision uint64
}

// Error implements error.
func (e *DigestError) Error() string {
	return "the document does not match its digest"
}

// Limits returns the limits of all teams, labelled with a revision.
func (d Document) Limits(revision uint64) units.Limits {
	limits := units.Limits{Revision: revision, Units: make(map[string]uint32, len(d.Teams))}
	for _, t := range d.Teams {
		limits.Units[t.Name] = t.Limit
	}
	return limits
}

func hexDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
