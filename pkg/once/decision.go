package once

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// Action is the next step that the router must take for a local request.
type Action int

const (
	// Wait means that the request is undecided. Call Decide again after the next Apply or after AskInterval.
	Wait Action = iota
	// Send means that this VM must send the request now. It is returned once per request.
	Send
	// Answer means that the caller gets the recorded result.
	Answer
	// AskHolder means that the router must query the holder of an open intent and pass the status to RecordHolderStatus.
	AskHolder
	// Refuse means that the request ends with the refusal.
	Refuse
)

// String returns the name of the action for logs.
func (a Action) String() string {
	switch a {
	case Wait:
		return "wait"
	case Send:
		return "send"
	case Answer:
		return "answer"
	case AskHolder:
		return "ask holder"
	case Refuse:
		return "refuse"
	}
	return "invalid"
}

// Holder identifies an open intent and the process that holds it, which may be the local one.
type Holder struct {
	VM          string
	Incarnation string
	Nonce       string
}

// Decision is the result of Begin and Decide.
type Decision struct {
	Action Action
	// Result is set for Answer. It is shared with the table and must not be modified.
	Result *Result
	// Holder is set for AskHolder.
	Holder Holder
	// Refusal is set for Refuse.
	Refusal *refusal.Error
}

// Status is the state of an intent as reported by the VM that holds it.
type Status int

const (
	// StatusUnknown means that the VM has no record of the intent: its process started later, or the entry has
	// expired. The outcome cannot be determined.
	StatusUnknown Status = iota
	// StatusPending means that the request was not sent yet.
	StatusPending
	// StatusRunning means that the request was sent.
	StatusRunning
	// StatusAbandoned means that the request was not sent and never will be. Its void may not have been read back
	// yet.
	StatusAbandoned
	// StatusDone means that the request ran. Its result may not have been read back yet.
	StatusDone
	// StatusUnreachable is the status passed to RecordHolderStatus if the holder cannot be reached. Table.Status never
	// returns it.
	StatusUnreachable
)

// Request is a local request with an idempotency key.
type Request struct {
	Workspace string
	// Key is the caller's idempotency key.
	Key string
	// Digest identifies the method, path and body of the request.
	Digest string
	// Nonce is unique among all intents of all VMs.
	Nonce string
}

// HTTP statuses of the refusals.
const (
	statusBadRequest    = 400
	statusConflict      = 409
	statusUnprocessable = 422
	statusUnavailable   = 503
)

// Retry-After values of the refusals.
const (
	// retryAfterTransient is for conditions that usually end within a second.
	retryAfterTransient = time.Second
	// retryAfterOutage gives an unreachable holder time to recover.
	retryAfterOutage = 5 * time.Second
)

// refuse returns the decision to end a request with the refusal.
func refuse(e *refusal.Error) Decision {
	return Decision{Action: Refuse, Refusal: e}
}

func errKeyLength() *refusal.Error {
	return refusal.New(statusBadRequest, refusal.CodeBadRequest,
		"an idempotency key has 1 to %d bytes", MaxKeyBytes)
}

func errIntentNotRecorded() *refusal.Error {
	return refusal.New(statusUnavailable, refusal.CodeLogDown,
		"the intent was not recorded in time; the request was not sent").WithRetryAfter(retryAfterTransient)
}

func errAbandoned() *refusal.Error {
	return refusal.New(statusUnavailable, refusal.CodeDeadline,
		"the request was given up before it was sent").WithRetryAfter(retryAfterTransient)
}

func errKeyReused() *refusal.Error {
	return refusal.New(statusUnprocessable, refusal.CodeKeyReused,
		"the idempotency key was used with another request; this request was not sent")
}

func errKeyExpired(window time.Duration) *refusal.Error {
	return refusal.New(statusConflict, refusal.CodeKeyExpired,
		"the idempotency key is older than %s; this request was not sent, earlier ones may have been", window).
		WithRunState(refusal.Unknown)
}

func errTableFull() *refusal.Error {
	return refusal.New(statusUnavailable, refusal.CodeOverloaded,
		"too many idempotency keys are held; the request was not sent").WithRetryAfter(retryAfterOutage)
}

func errInProgress() *refusal.Error {
	return refusal.New(statusConflict, refusal.CodeInProgress,
		"a request with this idempotency key is in progress").
		WithRunState(refusal.Unknown).WithRetryAfter(retryAfterTransient)
}

func errOutcomeUnknown() *refusal.Error {
	return refusal.New(statusConflict, refusal.CodeOutcomeUnknown,
		"a request with this idempotency key was accepted and its outcome is not known").WithRunState(refusal.Unknown)
}

func errAnswerNotKept(status int) *refusal.Error {
	return refusal.New(statusConflict, refusal.CodeAnswerNotKept,
		"the request ran and was answered with status %d; the answer is no longer held", status).WithRunState(refusal.Run)
}
