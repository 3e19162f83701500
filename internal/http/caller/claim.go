package caller

import (
	"context"
	"crypto/sha256"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/claims"
)

const (
	// claimTimeout bounds the commit of a claim, its outcome or its release.
	claimTimeout = 5 * time.Second
	// maxStoredBodyBytes is the largest response body that is stored for replay.
	maxStoredBodyBytes = 256 << 10
)

// claimFilter commits the idempotency key of a non-idempotent request before the request
// runs, so that no two requests with one key run. It stores the response and replays it to
// later requests with the same key.
type claimFilter struct{ server *Server }

// Handle implements Filter.
func (f *claimFilter) Handle(x *Exchange, next Handler) error {
	if x.Idempotent || x.IdempotencyKey == "" || x.Workspace == "" {
		return next(x)
	}
	group := control.GroupOf(x.Workspace, f.server.Source.Groups())
	c := &claims.Claim{Workspace: x.Workspace, Key: x.IdempotencyKey, Digest: requestDigest(x), Token: x.RequestID}
	ctx, cancel := context.WithTimeout(x.Context, claimTimeout)
	defer cancel()
	r, err := f.server.Control.Claims(ctx, group, claims.Command{Claim: c})
	if err != nil {
		return f.claimError(err)
	}
	if r.Outcome != nil {
		return f.replay(x, r.Outcome)
	}
	err = next(x)
	f.finish(x, group, err)
	return err
}

// claimError converts the error of a failed claim. This request reached no target, so
// its verdict is NotRun. A conflict keeps its own verdict: the request that holds the
// key may have run.
func (f *claimFilter) claimError(err error) error {
	e := rhubarbgate.AsError(err)
	if e.Code == rhubarbgate.CodeConflict {
		return e
	}
	return notRun(rhubarbgate.CodeUnavailable, "the idempotency key could not be claimed: %s", e.Message).WithRetryAfter(time.Second)
}

// requestDigest identifies the content of a request, so that reuse of a key with other
// content is refused.
func requestDigest(x *Exchange) []byte {
	h := sha256.New()
	h.Write([]byte(x.Method + "\x00" + x.Route + "\x00" + x.Path + "\x00"))
	h.Write(x.Body)
	return h.Sum(nil)
}

// replay sends the stored response of an earlier request with the same key.
func (f *claimFilter) replay(x *Exchange, o *claims.Outcome) error {
	x.Fiber.Set("Content-Type", o.ContentType)
	x.Fiber.Set("Idempotent-Replayed", "true")
	return x.Fiber.Status(o.Status).Send(o.Body)
}

// finish stores the response, or releases the claim if the request did not run.
// Otherwise, or if the commit fails, the claim stays as it is, and a retry with the same
// key is refused because the first request may have run.
func (f *claimFilter) finish(x *Exchange, group uint32, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.Context), claimTimeout)
	defer cancel()
	release := claims.Release{Workspace: x.Workspace, Key: x.IdempotencyKey, Token: x.RequestID}
	var cmd claims.Command
	switch {
	case err != nil && rhubarbgate.AsError(err).Verdict == rhubarbgate.NotRun:
		cmd.Release = &release
	case err != nil:
		return
	default:
		o, ok := storableOutcome(x)
		if !ok {
			return
		}
		cmd.Finish = &claims.Finish{Workspace: release.Workspace, Key: release.Key, Token: release.Token, Outcome: o}
	}
	if _, err := f.server.Control.Claims(ctx, group, cmd); err != nil {
		f.server.Counts.Refused.Add(1)
	}
}

// storableOutcome copies the response. It reports false for a streamed body and for one
// above maxStoredBodyBytes.
func storableOutcome(x *Exchange) (claims.Outcome, bool) {
	r := x.Fiber.Response()
	if r.IsBodyStream() || len(r.Body()) > maxStoredBodyBytes {
		return claims.Outcome{}, false
	}
	return claims.Outcome{
		Status: r.StatusCode(), ContentType: string(r.Header.ContentType()),
		Body: append([]byte(nil), r.Body()...),
	}, true
}
