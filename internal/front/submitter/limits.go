package submitter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

const (
	// maxNameBytes is longer than the name of any known field.
	maxNameBytes = 32
	// maxEscapedBytes is the length of the longest escape sequence that stands for one byte, such as \u0061.
	maxEscapedBytes = 6
	// maxReasonBytes limits the text of an error, which may quote the body.
	maxReasonBytes = 300
)

// LimitBody checks the limits of a job in the JSON object body before it is decoded: the number of elements of
// its field "steps" and the length of its field "spec". It returns a *jobs.SpecError at the first limit that is exceeded.
// The elements of repeated fields "steps" count together, and a later field does not replace a spec that is too long.
// Other faults of the body are left to the decoder.
//
// LimitBody returns the body to decode, in which names that cannot be those of known fields may be empty, and the
// number of steps.
func LimitBody(body []byte) (limited []byte, steps int, err error) {
	s := bodyScanner{body: body}
	if err := s.scan(); err != nil {
		return nil, 0, err
	}
	if s.hasForeignName && json.Valid(body) {
		body = clearForeignNames(body)
	}
	return body, s.steps, nil
}

// bodyField is a field of the JSON object of a job.
type bodyField int

const (
	otherField bodyField = iota
	stepsField
	specField
)

// bodyScanner scans the fields of a JSON object without decoding them. The body need not be valid.
type bodyScanner struct {
	body  []byte
	depth int
	// field is the field of the object whose value is scanned.
	field          bodyField
	steps          int
	hasForeignName bool
}

func (s *bodyScanner) scan() error {
	for i := 0; i < len(s.body); i++ {
		switch s.body[i] {
		case '"':
			end := stringEnd(s.body, i)
			if err := s.scanString(i, end); err != nil {
				return err
			}
			i = end - 1
		case '{', '[':
			s.depth++
			if s.depth == 2 && s.field == stepsField && nextByte(s.body, i+1) != ']' {
				s.steps++
			}
		case '}', ']':
			s.depth--
			if s.depth <= 0 {
				return nil // Data may follow the object.
			}
		case ',':
			if s.depth == 2 && s.field == stepsField {
				s.steps++
			}
		}
		if s.steps > jobs.MaxSteps {
			return jobs.TooManySteps()
		}
	}
	return nil
}

// scanString scans the string that is body[start:end] with its quotes.
func (s *bodyScanner) scanString(start, end int) error {
	if nextByte(s.body, end) == ':' {
		s.hasForeignName = s.hasForeignName || isForeignName(s.body[start:end])
		if s.depth == 1 {
			s.field = findField(s.body[start:end])
		}
		return nil
	}
	if s.depth == 1 && s.field == specField && end-start > maxEscapedBytes*jobs.MaxSpecBytes+len(`""`) {
		return jobs.SpecTooLong()
	}
	return nil
}

// findField returns the field that encoding/json matches with a quoted name.
func findField(quoted []byte) bodyField {
	name := quoted[1:max(len(quoted)-1, 1)]
	if bytes.IndexByte(name, '\\') >= 0 {
		var buffer [maxNameBytes]byte
		name = unescapeLetters(buffer[:0], name)
	}
	switch {
	case bytes.EqualFold(name, []byte("steps")):
		return stepsField
	case bytes.EqualFold(name, []byte("spec")):
		return specField
	}
	return otherField
}

// unescapeLetters appends name to dst with its escaped letters decoded. It returns nil for names that have other escapes
// or do not fit into dst.
func unescapeLetters(dst, name []byte) []byte {
	for len(name) > 0 {
		if len(dst)+utf8.UTFMax > cap(dst) {
			return nil
		}
		if name[0] != '\\' {
			dst, name = append(dst, name[0]), name[1:]
			continue
		}
		if len(name) < maxEscapedBytes || name[1] != 'u' {
			return nil // No letter has another escape.
		}
		letter, err := strconv.ParseUint(string(name[2:maxEscapedBytes]), 16, 16)
		if err != nil {
			return nil
		}
		dst, name = utf8.AppendRune(dst, rune(letter)), name[maxEscapedBytes:]
	}
	return dst
}

// isForeignName reports whether a quoted name cannot be that of a known field, because it is too long or not valid UTF-8.
// To look up such a name, encoding/json needs many times its length.
func isForeignName(quoted []byte) bool {
	length := len(quoted) - len(`""`)
	if length > maxNameBytes && (length > maxEscapedBytes*maxNameBytes || bytes.IndexByte(quoted, '\\') < 0) {
		return true
	}
	return !utf8.Valid(quoted)
}

// clearForeignNames returns a copy of the valid JSON value body in which foreign names are empty.
func clearForeignNames(body []byte) []byte {
	body = slices.Clone(body)
	for i := 0; i < len(body); i++ {
		if body[i] != '"' {
			continue
		}
		end := stringEnd(body, i)
		if nextByte(body, end) == ':' && isForeignName(body[i:end]) {
			body[i+1] = '"'
			for k := i + 2; k < end; k++ {
				body[k] = ' '
			}
		}
		i = end - 1
	}
	return body
}

// nextByte returns the first byte from body[start] on that is not a space, 0 if there is none.
func nextByte(body []byte, start int) byte {
	for _, c := range body[start:] {
		if c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			return c
		}
	}
	return 0
}

// stringEnd returns the index after the JSON string that begins at body[start].
func stringEnd(body []byte, start int) int {
	for i := start + 1; i < len(body); i++ {
		switch body[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(body)
}

// Numbers decodes as []int does, but allocates the whole slice at once.
type Numbers []int

var errNotNumbers = errors.New("a list of step numbers has another value than integers")

// UnmarshalJSON implements json.Unmarshaler.
func (n *Numbers) UnmarshalJSON(data []byte) error {
	inner, isArray := bytes.CutPrefix(data, []byte{'['})
	if !isArray {
		if data[0] == 'n' {
			*n = nil
			return nil
		}
		return errNotNumbers
	}
	inner = bytes.TrimSpace(inner[:len(inner)-1])
	if len(inner) == 0 {
		*n = []int{}
		return nil
	}
	// The values of a former field of the same name are kept where an element is null, as for []int.
	numbers := (*n)[:cap(*n)]
	if count := bytes.Count(inner, []byte{','}) + 1; count > cap(numbers) {
		numbers = make([]int, count)
		copy(numbers, (*n)[:cap(*n)])
	}
	count := 0
	for rest, isMore := inner, true; isMore; count++ {
		var element []byte
		element, rest, isMore = bytes.Cut(rest, []byte{','})
		element = bytes.TrimSpace(element)
		if element[0] == 'n' {
			continue
		}
		number, err := strconv.Atoi(string(element))
		if err != nil {
			return errNotNumbers
		}
		numbers[count] = number
	}
	*n = numbers[:count]
	return nil
}

// InvalidBody returns the error for the submitter that stands for err, an error of the decoder of a body.
func InvalidBody(err error) error {
	if invalid, ok := errors.AsType[*jobs.SpecError](err); ok {
		return invalid
	}
	if invalid, ok := errors.AsType[*time.ParseError](err); ok && len(invalid.Value) > maxReasonBytes {
		return errors.New("the body is not a job: a time is not valid") // Its text quotes the value several times.
	}
	text := err.Error()
	if len(text) > maxReasonBytes {
		text = strings.ToValidUTF8(text[:maxReasonBytes], "") + "..."
	}
	return fmt.Errorf("the body is not a job: %s", text)
}
