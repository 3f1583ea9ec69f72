// Package event numbers everything that the programs log. The catalogue in
// docs/EVENTS.md says for each number what it means and what to do.
package event

import "github.com/sirupsen/logrus"

// Event is one kind of log entry.
type Event struct {
	// Number never changes its meaning.
	Number int
	// Level is the severity.
	Level logrus.Level
	// Text is the message.
	Text string
}

var catalogue []Event

func define(number int, level logrus.Level, text string) Event {
	e := Event{Number: number, Level: level, Text: text}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns every event that the programs can log.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Log writes the event with the given fields.
func (e Event) Log(log *logrus.Entry, fields logrus.Fields) {
	log.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Text)
}
