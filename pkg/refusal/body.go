package refusal

import "encoding/json"

// HTTP statuses that are not caused by the caller: firstServerError and above, and tooManyRequests.
const (
	firstServerError = 500
	tooManyRequests  = 429
)

// body is the JSON body of a refusal.
type body struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the error object of the body.
type errorDetail struct {
	Message  string   `json:"message"`
	Type     string   `json:"type"`
	Code     Code     `json:"code"`
	RunState RunState `json:"run_state"`
}

// Body returns the JSON body of the response. The caller-facing server of pkg/caller and the gateway send the same body.
func (e *Error) Body() []byte {
	errorType := "invalid_request_error"
	if e.Status >= firstServerError || e.Status == tooManyRequests {
		errorType = "server_error"
	}
	data, err := json.Marshal(body{Error: errorDetail{Message: e.Message, Type: errorType, Code: e.Code, RunState: e.RunState}})
	if err != nil {
		// No field has a type that JSON cannot encode.
		panic(err)
	}
	return data
}
