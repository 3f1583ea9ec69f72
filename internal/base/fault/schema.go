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

// CompileSchema compiles a JSON schema that is part of the program. It panics
// on a faulty one.
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

// Decode checks a JSON document against a schema and decodes it. The error is
// a *ListError with every fault that the schema finds.
func Decode(schema *jsonschema.Schema, data []byte, target any) error {
	list := &ListError{}
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		list.Add("", "not valid JSON: %s", describeSyntax(data, err))
		return list
	}
	if err = schema.Validate(parsed); err != nil {
		list.addSchema(err)
		return list.Err()
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(target); err != nil {
		list.Add("", "%s", err)
	}
	return list.Err()
}

func describeSyntax(data []byte, err error) string {
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

// addSchema adds the innermost causes of a schema error.
func (l *ListError) addSchema(err error) {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		l.Add("", "%s", err)
		return
	}
	if len(invalid.Causes) == 0 {
		printer := message.NewPrinter(language.English)
		l.Add(pointer(invalid.InstanceLocation), "%s", invalid.ErrorKind.LocalizedString(printer))
		return
	}
	for _, cause := range invalid.Causes {
		l.addSchema(cause)
	}
}

func pointer(location []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var text strings.Builder
	for _, token := range location {
		text.WriteString("/" + escape.Replace(token))
	}
	return text.String()
}
