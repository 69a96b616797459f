// Package refusal defines the errors that the router returns to its callers.
//
// Every refusal states whether the request ran, so that the caller can decide whether to send it again.
package refusal

import (
	"fmt"
	"time"
)

// RunState reports whether the refused request reached an endpoint.
type RunState string

const (
	// NotRun means that no endpoint acted on any byte of the request.
	NotRun RunState = "not_run"
	// Run means that an endpoint ran at least part of the request.
	Run RunState = "run"
	// Unknown means that the router cannot tell whether an endpoint ran the request.
	Unknown RunState = "unknown"
)

// Code identifies the reason of a refusal. Codes are stable and documented for operators.
type Code string

// Refusal codes.
const (
	CodeBadRequest       Code = "bad_request"
	CodeTooLarge         Code = "request_too_large"
	CodeUnauthorized     Code = "invalid_key"
	CodeKeyWithdrawn     Code = "key_withdrawn"
	CodeNoRoute          Code = "no_route"
	CodeUnknownModel     Code = "unknown_model"
	CodeRateLimited      Code = "rate_limited"
	CodeAboveBurst       Code = "above_burst"
	CodeQueueFull        Code = "queue_full"
	CodeDeadline         Code = "deadline"
	CodeNoEndpoint       Code = "no_endpoint"
	CodeNoConfig         Code = "no_configuration"
	CodeIsolated         Code = "cut_off"
	CodeLogDown          Code = "log_unavailable"
	CodeInProgress       Code = "in_progress"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeKeyExpired       Code = "idempotency_key_expired"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeEndpointFailed   Code = "endpoint_failed"
	CodeCrashSuspect     Code = "crashes_endpoints"
	CodeStreamCut        Code = "stream_cut"
	CodeEndpointRejected Code = "endpoint_rejected"
	CodeOverloaded       Code = "overloaded"
	CodeLeaving          Code = "vm_leaving"
	CodeEndpointLimit    Code = "endpoints_at_limit"
	// CodeOriginUnknown refuses to go on with a stream of which it is not known which software version began it.
	CodeOriginUnknown Code = "stream_origin_unknown"
	// CodeConfigUncertain refuses what the configuration in force does not allow while a newer one may exist.
	CodeConfigUncertain Code = "configuration_uncertain"
	// CodeAnswerNotKept refuses a repeat of a finished request whose answer was not stored.
	CodeAnswerNotKept Code = "answer_not_kept"
)

// Error is the refusal of one request.
type Error struct {
	// Status is the HTTP status code.
	Status int
	// Code identifies the reason.
	Code Code
	// RunState reports whether the request ran.
	RunState RunState
	// Message describes the refusal in one sentence.
	Message string
	// RetryAfter is the time after which a retry may succeed. Zero means that none is given.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.RunState, e.Message)
}

// New returns a refusal of a request that did not run.
func New(status int, code Code, format string, args ...any) *Error {
	return &Error{
		Status:   status,
		Code:     code,
		RunState: NotRun,
		Message:  fmt.Sprintf(format, args...),
	}
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithRunState sets RunState and returns e.
func (e *Error) WithRunState(s RunState) *Error {
	e.RunState = s
	return e
}
