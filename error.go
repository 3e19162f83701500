package rhubarbgate

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

//go:generate go tool -modfile=tools/go.mod stringer -type=Code -trimprefix=Code -output=code_string.go

// Code classifies an Error for callers and for retry decisions.
type Code uint8

const (
	// CodeInternal is a fault in the system itself.
	CodeInternal Code = iota
	// CodeInvalid is a malformed request.
	CodeInvalid
	// CodeUnauthorized is a missing, unknown or withdrawn key.
	CodeUnauthorized
	// CodeForbidden is a command that the peer's role may not issue, or a bundle
	// without the signatures that it needs.
	CodeForbidden
	// CodeNotFound is an unknown model, route, job or file.
	CodeNotFound
	// CodeConflict is a lost compare-and-set, a reused idempotency key, or another
	// command that the current state does not allow.
	CodeConflict
	// CodeTooLarge is a body larger than its limit.
	CodeTooLarge
	// CodeRateLimited is a workspace that exceeds its rate and burst.
	CodeRateLimited
	// CodeOverloaded is a fleet without a free slot before the deadline.
	CodeOverloaded
	// CodeUnavailable is a component that is unreachable or cannot serve now.
	CodeUnavailable
	// CodeStale is a daemon that confirmed its configuration too long ago to use it.
	CodeStale
	// CodeDeadline is a deadline that passed.
	CodeDeadline
	// CodeUpstream is a target that failed or sent an incomplete response.
	CodeUpstream
	// CodeCancelled is a request that its caller cancelled.
	CodeCancelled
)

// Status returns the HTTP status for c. 499 (client closed request) is a common
// convention, not a registered status.
func (c Code) Status() int {
	switch c {
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeNotFound:
		return http.StatusNotFound
	case CodeConflict:
		return http.StatusConflict
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeRateLimited:
		return http.StatusTooManyRequests
	case CodeOverloaded, CodeUnavailable, CodeStale:
		return http.StatusServiceUnavailable
	case CodeDeadline:
		return http.StatusGatewayTimeout
	case CodeUpstream:
		return http.StatusBadGateway
	case CodeCancelled:
		return 499
	default:
		return http.StatusInternalServerError
	}
}

// Error is a failure together with whether the request may have run.
type Error struct {
	Code       Code
	Verdict    Verdict
	Message    string
	RetryAfter time.Duration
}

// Errorf returns an Error with a formatted message.
func Errorf(c Code, v Verdict, format string, args ...any) *Error {
	return &Error{Code: c, Verdict: v, Message: fmt.Sprintf(format, args...)}
}

// Error returns the message without the code and the verdict.
func (e *Error) Error() string { return e.Message }

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// AsError returns err as an *Error. An error of another type becomes an internal
// error with the verdict MayHaveRun, because its effects are unknown.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Errorf(CodeInternal, MayHaveRun, "%v", err)
}

// HasCode reports whether err is or wraps an *Error with the code c.
func HasCode(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}
