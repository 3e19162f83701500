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
	// CodeInternal is a fault of the system itself.
	CodeInternal Code = iota
	// CodeInvalid is a malformed request.
	CodeInvalid
	// CodeUnauthorized is a missing, unknown or withdrawn key.
	CodeUnauthorized
	// CodeForbidden is a peer that may not call the method.
	CodeForbidden
	// CodeNotFound is an unknown model, route, job or file.
	CodeNotFound
	// CodeConflict is a lost compare-and-set or a reused idempotency key.
	CodeConflict
	// CodeTooLarge is a body beyond its limit.
	CodeTooLarge
	// CodeRateLimited is a workspace beyond its rate and burst.
	CodeRateLimited
	// CodeOverloaded is a fleet without room before the deadline.
	CodeOverloaded
	// CodeUnavailable is a part of the system that cannot be reached.
	CodeUnavailable
	// CodeStale is a daemon whose configuration is too old to be trusted.
	CodeStale
	// CodeDeadline is a deadline that passed.
	CodeDeadline
	// CodeUpstream is a target that failed or cut its answer short.
	CodeUpstream
	// CodeCancelled is a request given up by its caller.
	CodeCancelled
)

// Status returns the HTTP status that reports c to a caller.
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

// Error is a failure together with what is known about the request's effects.
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

// Error implements error.
func (e *Error) Error() string { return e.Message }

// After returns a copy of e that tells the caller when to come back.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// AsError returns err as an *Error. An error of another type becomes an internal
// error whose verdict is MayHaveRun, the only verdict that is safe to assume.
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

// HasCode reports whether err carries the code c.
func HasCode(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}
