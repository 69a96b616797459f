package refusal

import (
	"encoding/json"
	"testing"
)

// Guards against bodies that are not valid JSON when the message contains bytes from the caller.
func TestBodyIsJSONWhateverTheMessage(t *testing.T) {
	var got struct {
		Error map[string]string `json:"error"`
	}
	data := New(400, CodeBadRequest, "%s", "a \x00 \x7f \"quoted\" \xff header").Body()
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatalf("%s: %v", data, err)
	}
	if got.Error["code"] != "bad_request" || got.Error["run_state"] != "not_run" || got.Error["type"] != "invalid_request_error" {
		t.Errorf("%v", got.Error)
	}
	if err := json.Unmarshal(New(429, CodeRateLimited, "wait").Body(), &got); err != nil || got.Error["type"] != "server_error" {
		t.Errorf("%v, %v", got.Error, err)
	}
}
