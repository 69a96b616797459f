package caller

import "testing"

// Guards against forwarding a key to an endpoint because its characters are written as JSON escapes.
func TestKeyWithJSONEscapesIsRefused(t *testing.T) {
	const key = "cd-secret/1"
	for _, text := range []string{`{"a":"cd-secret/1"}`, `{"a":"cd-secret\/1"}`, `{"a":["x","\u0063d-secret/1"]}`} {
		if checkKeyNotForwarded(key, []byte(text)) == nil {
			t.Errorf("the key was not found in %s", text)
		}
	}
	for _, text := range []string{`{"a":"cd-secret"}`, `not json \u0063`, ``} {
		if ref := checkKeyNotForwarded(key, []byte(text)); ref != nil {
			t.Errorf("%q: %v", text, ref)
		}
	}
}
