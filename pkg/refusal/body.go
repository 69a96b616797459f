package refusal

import "encoding/json"

// Statuses for which a caller is not to blame: firstServerError and above, and tooManyRequests.
const (
	firstServerError = 500
	tooManyRequests  = 429
)

// body is the JSON body of a refusal.
type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Message  string   `json:"message"`
	Type     string   `json:"type"`
	Code     Code     `json:"code"`
	RunState RunState `json:"run_state"`
}

// Body returns the JSON body that callers get, the same at both front doors.
func (e *Error) Body() []byte {
	kind := "invalid_request_error"
	if e.Status >= firstServerError || e.Status == tooManyRequests {
		kind = "server_error"
	}
	data, err := json.Marshal(body{Error: detail{Message: e.Message, Type: kind, Code: e.Code, RunState: e.RunState}})
	if err != nil {
		// The type has no field that JSON cannot hold.
		panic(err)
	}
	return data
}
