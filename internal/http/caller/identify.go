package caller

import (
	"bytes"
	"crypto/subtle"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// staleRetryAfter is the Retry-After of an entry whose configuration is stale.
const staleRetryAfter = time.Second

// keyFilter looks up the workspace of the caller's key. Open routes need no key. While
// the configuration is stale, requests with a key are refused, since the key may have
// been withdrawn.
type keyFilter struct{ server *Server }

var bearer = []byte("Bearer ")

// Handle implements Filter.
func (f *keyFilter) Handle(x *Exchange, next Handler) error {
	if name := x.Fiber.Params("route"); name != "" && x.Config.Routes[name].Open {
		x.Open = true
		return next(x)
	}
	if f.server.stale() {
		return notRun(rhubarbgate.CodeStale, "this entry cannot confirm its configuration").WithRetryAfter(staleRetryAfter)
	}
	h := x.Fiber.Request().Header.Peek("Authorization")
	if len(h) <= len(bearer) || !bytes.EqualFold(h[:len(bearer)], bearer) {
		return notRun(rhubarbgate.CodeUnauthorized, "the header Authorization lacks a bearer key")
	}
	x.Secret = bytes.Clone(bytes.TrimSpace(h[len(bearer):]))
	digest := config.KeyDigest(string(x.Secret))
	k, ok := x.Config.Keys[digest]
	if !ok || subtle.ConstantTimeCompare([]byte(k.Digest), []byte(digest)) != 1 {
		return notRun(rhubarbgate.CodeUnauthorized, "the key is unknown or withdrawn")
	}
	x.KeyDigest, x.Workspace = digest, k.Workspace
	return next(x)
}
