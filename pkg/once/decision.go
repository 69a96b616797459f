package once

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// Action is what the router does next with a local request.
type Action int

const (
	// Wait means that nothing is decided; decide again after the next Apply or after AskEvery.
	Wait Action = iota
	// Send means that this VM sends the request now. It is returned once per request.
	Send
	// Answer means that the recorded result is the answer.
	Answer
	// AskHolder means that the holder of an open intent is to be asked; pass its reply to HolderReply.
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

// Holder names the VM that holds an open intent. It may be the local VM.
type Holder struct {
	VM          string
	Incarnation string
	Nonce       string
}

// Decision is the outcome of Begin and Decide.
type Decision struct {
	Action Action
	// Result is set for Answer. It is shared and must not be changed.
	Result *Result
	// Holder is set for AskHolder.
	Holder Holder
	// Refusal is set for Refuse.
	Refusal *refusal.Error
}

// Status is what a VM knows about an intent of its own.
type Status int

const (
	// StatusUnknown means that the VM does not know the intent: its process started later, or the entry was
	// forgotten. The outcome cannot be learned.
	StatusUnknown Status = iota
	// StatusPending means that the request was not sent yet.
	StatusPending
	// StatusRunning means that the request was sent.
	StatusRunning
	// StatusAbandoned means that the request was not sent and never will be; a void is on its way.
	StatusAbandoned
	// StatusDone means that the request ran; the result is on its way.
	StatusDone
	// StatusUnreachable is the reply of a holder that cannot be reached. Status never returns it.
	StatusUnreachable
)

// Request is a local request with an idempotency key.
type Request struct {
	Workspace string
	// Key is the caller's idempotency key.
	Key string
	// Digest identifies method, path and body of the request.
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

// Times to come back.
const (
	retrySoon = time.Second
	// retryHolder leaves time for a holder to come back into reach.
	retryHolder = 5 * time.Second
)

func refuse(e *refusal.Error) Decision {
	return Decision{Action: Refuse, Refusal: e}
}

func errBadKey() *refusal.Error {
	return refusal.New(statusBadRequest, refusal.CodeBadRequest,
		"an idempotency key has 1 to %d bytes", MaxKeyBytes)
}

func errLogSlow() *refusal.Error {
	return refusal.New(statusUnavailable, refusal.CodeLogDown,
		"the intent was not recorded in time; the request was not sent").WithRetryAfter(retrySoon)
}

func errGivenUp() *refusal.Error {
	return refusal.New(statusUnavailable, refusal.CodeDeadline, "the request was given up before it was sent").WithRetryAfter(retrySoon)
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
		"too many idempotency keys are held; the request was not sent").WithRetryAfter(retryHolder)
}

func errInProgress() *refusal.Error {
	return refusal.New(statusConflict, refusal.CodeInProgress,
		"a request with this idempotency key is in progress").WithRunState(refusal.Unknown).WithRetryAfter(retrySoon)
}

func errOutcomeUnknown() *refusal.Error {
	return refusal.New(statusConflict, refusal.CodeOutcomeUnknown,
		"a request with this idempotency key was accepted and its outcome is not known").WithRunState(refusal.Unknown)
}

func errAnswerNotKept(status int) *refusal.Error {
	return refusal.New(statusConflict, refusal.CodeAnswerNotKept,
		"the request ran and was answered with status %d; the answer is no longer held", status).WithRunState(refusal.Run)
}
