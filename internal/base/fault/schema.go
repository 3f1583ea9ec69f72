package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// CompileSchema compiles a JSON schema that is embedded in the program. It panics
// if the schema is invalid.
func CompileSchema(name string, text []byte) *jsonschema.Schema {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err = compiler.AddResource(name, parsed); err != nil {
		panic(err)
	}
	return compiler.MustCompile(name)
}

// Decode validates a JSON document against a schema and decodes it into target.
// Unknown fields are rejected. The error is a *ValidationError: for a syntax or decoding
// error it has a single fault, otherwise all violations of the schema.
func Decode(schema *jsonschema.Schema, data []byte, target any) error {
	faults := &ValidationError{}
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		faults.Add("", "not valid JSON: %s", DescribeSyntaxError(data, err))
		return faults
	}
	if err = schema.Validate(parsed); err != nil {
		faults.addSchemaError(err)
		return faults.Err()
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(target); err != nil {
		faults.Add("", "%s", err)
	}
	return faults.Err()
}

// DescribeSyntaxError returns a message for an error of the JSON parser, with the
// line and the column (in bytes) where it is known.
func DescribeSyntaxError(data []byte, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		before := data[:min(int(syntax.Offset), len(data))]
		line := 1 + bytes.Count(before, []byte("\n"))
		column := len(before) - bytes.LastIndexByte(before, '\n') - 1
		return message.NewPrinter(language.English).Sprintf("line %d, column %d: %s", line, column, syntax.Error())
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the text ends too early"
	}
	return err.Error()
}

// addSchemaError adds a fault for each leaf in the tree of causes of a validation
// error. The inner nodes only say that a part of the schema was violated.
func (v *ValidationError) addSchemaError(err error) {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		v.Add("", "%s", err)
		return
	}
	if len(invalid.Causes) == 0 {
		printer := message.NewPrinter(language.English)
		v.Add(jsonPointer(invalid.InstanceLocation), "%s", invalid.ErrorKind.LocalizedString(printer))
		return
	}
	for _, cause := range invalid.Causes {
		v.addSchemaError(cause)
	}
}

// jsonPointer returns a location as a JSON pointer (RFC 6901).
func jsonPointer(location []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var builder strings.Builder
	for _, token := range location {
		builder.WriteString("/" + escape.Replace(token))
	}
	return builder.String()
}
