package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
)

// expectedInteger describes the valid values of an integer field.
const expectedInteger = "a whole number of at most 63 bits"

// errSyntax stops the validation. It means invalid JSON unless a reason is set.
var errSyntax = errors.New("not JSON")

// validateJSON checks JSON text against a type. It is stricter than encoding/json, which ignores the case of keys and
// uses the last of repeated keys. It returns the reason of a refusal, or an empty string if the text is valid.
// Reasons consist only of text of this package, because verdicts must not depend on the version of the JSON library.
func validateJSON(data []byte, t reflect.Type) string {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	w := &strictValidator{decoder: decoder}
	err := w.checkValue(t, "")
	if err == nil && w.reason == "" {
		_, err = decoder.Token()
		if err != io.EOF {
			return "the record has text after the JSON value"
		}
		return ""
	}
	if w.reason != "" {
		return w.reason
	}
	return "the record is not JSON"
}

// strictValidator holds the first reason to refuse a text. It descends only as deep as the type, so that deeply
// nested text cannot exhaust the stack.
type strictValidator struct {
	decoder *json.Decoder
	reason  string
}

// fail records the reason and returns the error that stops the validation.
func (w *strictValidator) fail(path, want string) error {
	w.reason = fmt.Sprintf("%s: expected %s", quotePath(path), want)
	return errSyntax
}

// quotePath returns a path in short ASCII form, or "the record" for the empty path.
func quotePath(path string) string {
	if path == "" {
		return "the record"
	}
	quoted := quote(path)
	return quoted[1 : len(quoted)-1]
}

func (w *strictValidator) checkValue(t reflect.Type, path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return errSyntax
	}
	if t.Kind() == reflect.Pointer {
		if token == nil {
			return nil
		}
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		return w.checkObject(token, t, path)
	case reflect.Slice:
		return w.checkArray(token, t, path)
	case reflect.String:
		return w.checkScalar(tokenIs[string](token), path, "text")
	case reflect.Bool:
		return w.checkScalar(tokenIs[bool](token), path, "true or false")
	default:
		return w.checkScalar(tokenIsInteger(token), path, expectedInteger)
	}
}

func tokenIs[T any](token json.Token) bool {
	_, ok := token.(T)
	return ok
}

func tokenIsInteger(token json.Token) bool {
	number, ok := token.(json.Number)
	if !ok {
		return false
	}
	_, err := strconv.ParseInt(number.String(), 10, 64)
	return err == nil
}

func (w *strictValidator) checkScalar(ok bool, path, want string) error {
	if !ok {
		return w.fail(path, want)
	}
	return nil
}

func (w *strictValidator) checkObject(token json.Token, t reflect.Type, path string) error {
	if token != json.Delim('{') {
		return w.fail(path, "keys with values")
	}
	fields := fieldIndexes(t)
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return errSyntax
		}
		key, _ := token.(string)
		inner := joinPath(path, key)
		index, known := fields[key]
		if !known {
			return w.fail(inner, "a known key")
		}
		if seen[key] {
			return w.fail(inner, "each key once")
		}
		seen[key] = true
		if err := w.checkValue(t.Field(index).Type, inner); err != nil {
			return err
		}
	}
	if err := w.readEnd(); err != nil {
		return err
	}
	return w.checkRequired(t, path, seen)
}

// checkRequired fails if a key is missing whose zero value is itself a valid value.
func (w *strictValidator) checkRequired(t reflect.Type, path string, seen map[string]bool) error {
	if t == reflect.TypeFor[ReleaseNote]() && !seen["base"] {
		return w.fail(joinPath(path, "base"), "a value; the key is missing")
	}
	return nil
}

func (w *strictValidator) checkArray(token json.Token, t reflect.Type, path string) error {
	if token == nil {
		return nil
	}
	if token != json.Delim('[') {
		return w.fail(path, "a list")
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.checkValue(t.Elem(), path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	return w.readEnd()
}

// readEnd reads the closing delimiter of an object or array.
func (w *strictValidator) readEnd() error {
	if _, err := w.decoder.Token(); err != nil {
		return errSyntax
	}
	return nil
}
