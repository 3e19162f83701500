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
	// claimTimeout bounds the commit of a claim.
	claimTimeout = 5 * time.Second
	// maxStoredBytes bounds the stored answer of a claimed request.
	maxStoredBytes = 256 << 10
)

// claim commits the idempotency key of a non-idempotent request before it runs,
// and stores its outcome for resends.
type claim struct{ server *Server }

// Handle implements Filter.
func (f *claim) Handle(x *Exchange, next Handler) error {
	if x.Idempotent || x.IdempotencyKey == "" || x.Workspace == "" {
		return next(x)
	}
	group := control.GroupOf(x.Workspace, f.server.Source.Groups())
	c := &claims.Claim{Workspace: x.Workspace, Key: x.IdempotencyKey, Digest: requestDigest(x), Token: x.RequestID}
	ctx, cancel := context.WithTimeout(x.Context, claimTimeout)
	defer cancel()
	r, err := f.server.Control.Claims(ctx, group, claims.Command{Claim: c})
	if err != nil {
		return f.unclaimed(err)
	}
	if r.Outcome != nil {
		return f.replay(x, r.Outcome)
	}
	err = next(x)
	f.finish(x, group, err)
	return err
}

// unclaimed reports a failed claim. No target was reached, but a resend with the
// same key may find the claim taken, so a conflict keeps its verdict.
func (f *claim) unclaimed(err error) error {
	e := rhubarbgate.AsError(err)
	if e.Code == rhubarbgate.CodeConflict {
		return e
	}
	return notRun(rhubarbgate.CodeUnavailable, "the idempotency key could not be claimed: %s", e.Message).After(time.Second)
}

func requestDigest(x *Exchange) []byte {
	h := sha256.New()
	h.Write([]byte(x.Method + "\x00" + x.Route + "\x00" + x.Path + "\x00"))
	h.Write(x.Body)
	return h.Sum(nil)
}

func (f *claim) replay(x *Exchange, o *claims.Outcome) error {
	x.Fiber.Set("Content-Type", o.ContentType)
	x.Fiber.Set("Idempotent-Replayed", "true")
	return x.Fiber.Status(o.Status).Send(o.Body)
}

// finish stores the outcome, or gives the claim up if the request did not run.
// A claim that neither reaches stays: a resend then hears that it may have run.
func (f *claim) finish(x *Exchange, group uint32, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.Context), claimTimeout)
	defer cancel()
	name := claims.Release{Workspace: x.Workspace, Key: x.IdempotencyKey, Token: x.RequestID}
	var cmd claims.Command
	switch {
	case err != nil && rhubarbgate.AsError(err).Verdict == rhubarbgate.NotRun:
		cmd.Release = &name
	case err != nil:
		return
	default:
		o, ok := outcome(x)
		if !ok {
			return
		}
		cmd.Finish = &claims.Finish{Workspace: name.Workspace, Key: name.Key, Token: name.Token, Outcome: o}
	}
	if _, err := f.server.Control.Claims(ctx, group, cmd); err != nil {
		f.server.Counts.Refused.Add(1)
	}
}

func outcome(x *Exchange) (claims.Outcome, bool) {
	r := x.Fiber.Response()
	if r.IsBodyStream() || len(r.Body()) > maxStoredBytes {
		return claims.Outcome{}, false
	}
	return claims.Outcome{
		Status: r.StatusCode(), ContentType: string(r.Header.ContentType()),
		Body: append([]byte(nil), r.Body()...),
	}, true
}
