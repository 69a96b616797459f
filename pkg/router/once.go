package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/once"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/service"
)

// requestDigest returns the digest of method, target and body, so that a key cannot be used for two different requests.
func requestDigest(req caller.ServiceRequest) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.URI), req.Body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce runs a call with an idempotency key at most once across all VMs.
func (r *Router) runOnce(c *serviceCall) (service.Response, *refusal.Error) {
	if r.logDown() {
		ref := refusal.New(statusUnavailable, refusal.CodeLogDown, "the log is not available, so the call was not sent")
		return service.Response{}, ref.WithRetryAfter(logDownAfter)
	}
	nonce := uuid.NewString()
	wake := make(chan struct{}, 1)
	var decision once.Decision
	r.intents.do(func(t *intentTable) {
		var records []once.Record
		now := time.Now()
		t.wake[nonce] = wake
		decision, records = t.table.Begin(once.Request{
			Workspace: c.workspace.Name,
			Key:       c.req.IdempotencyKey,
			Digest:    requestDigest(c.req),
			Nonce:     nonce,
		}, now)
		t.add(records, now)
	})
	defer r.intents.do(func(t *intentTable) { delete(t.wake, nonce) })
	r.wakeAppender()
	return r.followDecision(c, nonce, wake, decision)
}

// followDecision acts on the decisions of the table until the call is answered, refused or sent.
func (r *Router) followDecision(c *serviceCall, nonce string, wake <-chan struct{}, d once.Decision) (service.Response, *refusal.Error) {
	for {
		switch d.Action {
		case once.Refuse:
			return service.Response{}, d.Refusal
		case once.Answer:
			return recordedAnswer(d.Result), nil
		case once.Send:
			return r.sendOnce(c, nonce)
		case once.AskHolder:
			r.queryHolder(c.ctx, nonce, d.Holder)
		case once.Wait:
			select {
			case <-wake:
			case <-time.After(decisionInterval):
			case <-c.ctx.Done():
				return service.Response{}, r.abandonIntent(c, nonce)
			}
		}
		d = locked(&r.intents, func(t *intentTable) once.Decision { return t.table.Decide(nonce, time.Now()) })
	}
}

// abandonIntent abandons the intent of a call that was not sent. The run state of the refusal also covers other calls
// with the same key.
func (r *Router) abandonIntent(c *serviceCall, nonce string) *refusal.Error {
	runState := refusal.NotRun
	r.intents.do(func(t *intentTable) {
		now := time.Now()
		var records []once.Record
		records, runState = t.table.Abandon(nonce, now)
		t.add(records, now)
	})
	r.wakeAppender()
	return cancelRefusal(c.ctx).WithRunState(runState)
}

// sendOnce sends the call and records the outcome. Once sent, the call is not cancelled: the outcome is recorded even
// if the caller's key was withdrawn or the caller's deadline has passed.
func (r *Router) sendOnce(c *serviceCall, nonce string) (service.Response, *refusal.Error) {
	type outcome struct {
		resp service.Response
		ref  *refusal.Error
	}
	done := make(chan outcome, 1)
	c.maySend = func() bool {
		return locked(&r.intents, func(t *intentTable) bool { return t.table.MaySend(nonce, time.Now()) })
	}
	r.spawn(func() {
		ctx, cancel := context.WithTimeout(r.ctx, c.timeout())
		defer cancel()
		resp, ref := r.callNonIdempotent(ctx, c)
		r.finishIntent(c, nonce, resp, ref)
		done <- outcome{resp, ref}
	})
	select {
	case out := <-done:
		return out.resp, out.ref
	case <-c.ctx.Done():
		return service.Response{}, cancelRefusal(c.ctx).WithRunState(refusal.Unknown)
	}
}

// finishIntent records the outcome of a call, or that it was not sent.
func (r *Router) finishIntent(c *serviceCall, nonce string, resp service.Response, ref *refusal.Error) {
	r.intents.do(func(t *intentTable) {
		now := time.Now()
		if ref != nil && ref.RunState == refusal.NotRun {
			t.add(t.table.AbandonUnsent(nonce, now), now)
			return
		}
		t.add(t.table.Finish(nonce, callResult(resp, ref), now), now)
		for waiting := range t.wake {
			t.notify([]string{waiting})
		}
	})
	r.wakeAppender()
	r.record(partOnce, "outcome recorded", c.id, "")
}

// callResult returns the result to record for a call. After a refusal the result is unknown.
func callResult(resp service.Response, ref *refusal.Error) once.Result {
	if ref != nil {
		return once.Result{Unknown: true}
	}
	result := once.Result{Status: resp.Status, Body: resp.Body}
	for _, h := range resp.Headers {
		result.Headers = append(result.Headers, once.Header{Name: h.Name, Value: h.Value})
	}
	return result
}

// recordedAnswer returns a recorded result as a response.
func recordedAnswer(result *once.Result) service.Response {
	resp := service.Response{Status: result.Status, Body: result.Body}
	for _, h := range result.Headers {
		resp.Headers = append(resp.Headers, service.Header{Name: h.Name, Value: h.Value})
	}
	return resp
}
