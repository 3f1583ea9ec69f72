// Package event defines the numbered events that the programs log. docs/EVENTS.md
// lists each number with its meaning and the action that an operator should take.
package event

import "github.com/sirupsen/logrus"

// Event is a kind of log message.
type Event struct {
	// Number identifies the event. A number is never reused for another meaning.
	Number int
	Level  logrus.Level
	Text   string
}

var catalogue []Event

// define creates an event and adds it to the catalogue. It must only be called
// from package-level variable declarations, since the catalogue has no lock.
func define(number int, level logrus.Level, text string) Event {
	e := Event{Number: number, Level: level, Text: text}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns a copy of the list of all events that the programs can log.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Log writes the event with the given fields, and its number in the field "event".
func (e Event) Log(log *logrus.Entry, fields logrus.Fields) {
	log.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Text)
}
