package caller

import "testing"

// A key that a caller writes with JSON escapes would reach an endpoint like a plain one.
func TestKeyIsFoundInEscapes(t *testing.T) {
	const key = "cd-secret/1"
	for _, text := range []string{`{"a":"cd-secret/1"}`, `{"a":"cd-secret\/1"}`, `{"a":["x","\u0063d-secret/1"]}`} {
		if checkKeyHidden(key, []byte(text)) == nil {
			t.Errorf("the key was not found in %s", text)
		}
	}
	for _, text := range []string{`{"a":"cd-secret"}`, `not json \u0063`, ``} {
		if ref := checkKeyHidden(key, []byte(text)); ref != nil {
			t.Errorf("%q: %v", text, ref)
		}
	}
}
