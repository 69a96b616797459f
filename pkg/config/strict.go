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

// wantInteger is what is expected of an integer field.
const wantInteger = "a whole number of at most 63 bits"

// errSyntax reports text that is not JSON.
var errSyntax = errors.New("not JSON")

// strictJSON checks a text against a type more strictly than encoding/json, which ignores the case of keys and
// takes the last of two equal keys. It returns a reason, or an empty string where the text fits. Reasons are
// text of this package only, because verdicts must not vary with the version of the JSON library.
func strictJSON(data []byte, t reflect.Type) string {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	w := &strictWalk{decoder: decoder}
	err := w.value(t, "")
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

// strictWalk holds the first reason against a text. It descends only as far as the type, so that deeply nested
// text cannot exhaust the stack.
type strictWalk struct {
	decoder *json.Decoder
	reason  string
}

// refuse records the first reason and stops the walk.
func (w *strictWalk) refuse(path, want string) error {
	w.reason = fmt.Sprintf("%s: expected %s", quotePath(path), want)
	return errSyntax
}

func quotePath(path string) string {
	if path == "" {
		return "the record"
	}
	quoted := quote(path)
	return quoted[1 : len(quoted)-1]
}

func (w *strictWalk) value(t reflect.Type, path string) error {
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
		return w.object(token, t, path)
	case reflect.Slice:
		return w.array(token, t, path)
	case reflect.String:
		return w.scalar(isType[string](token), path, "text")
	case reflect.Bool:
		return w.scalar(isType[bool](token), path, "true or false")
	default:
		return w.scalar(isInteger(token), path, wantInteger)
	}
}

func isType[T any](token json.Token) bool {
	_, ok := token.(T)
	return ok
}

func isInteger(token json.Token) bool {
	number, ok := token.(json.Number)
	if !ok {
		return false
	}
	_, err := strconv.ParseInt(number.String(), 10, 64)
	return err == nil
}

func (w *strictWalk) scalar(ok bool, path, want string) error {
	if !ok {
		return w.refuse(path, want)
	}
	return nil
}

func (w *strictWalk) object(token json.Token, t reflect.Type, path string) error {
	if token != json.Delim('{') {
		return w.refuse(path, "keys with values")
	}
	fields := fieldsOf(t)
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return errSyntax
		}
		key, _ := token.(string)
		inner := join(path, key)
		index, known := fields[key]
		if !known {
			return w.refuse(inner, "a known key")
		}
		if seen[key] {
			return w.refuse(inner, "each key once")
		}
		seen[key] = true
		if err := w.value(t.Field(index).Type, inner); err != nil {
			return err
		}
	}
	if err := w.close(); err != nil {
		return err
	}
	return w.required(t, path, seen)
}

// required reports a missing key for which the zero value has a meaning of its own.
func (w *strictWalk) required(t reflect.Type, path string, seen map[string]bool) error {
	if t == reflect.TypeFor[ReleaseNote]() && !seen["base"] {
		return w.refuse(join(path, "base"), "a value; the key is missing")
	}
	return nil
}

func (w *strictWalk) array(token json.Token, t reflect.Type, path string) error {
	if token == nil {
		return nil
	}
	if token != json.Delim('[') {
		return w.refuse(path, "a list")
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(t.Elem(), path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	return w.close()
}

// close reads the end of an object or array.
func (w *strictWalk) close() error {
	if _, err := w.decoder.Token(); err != nil {
		return errSyntax
	}
	return nil
}
