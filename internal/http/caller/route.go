package caller

import (
	"bytes"
	"io"
	"net"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
)

// routeFilter determines the model or service of a request and copies the parts that are
// forwarded. The copies are necessary because fasthttp reuses its buffers.
type routeFilter struct{ server *Server }

// forwardedHeaders are the request headers that are forwarded to targets. They contain no
// credentials.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "User-Agent"}

// Handle implements Filter.
func (f *routeFilter) Handle(x *Exchange, next Handler) error {
	body, err := readBody(x, maxBodyBytes)
	if err != nil {
		return err
	}
	x.Body = body
	x.Method = strings.Clone(x.Fiber.Method())
	if name := x.Fiber.Params("route"); name != "" {
		err = f.service(x, strings.Clone(name))
	} else {
		err = f.model(x)
	}
	if err != nil {
		return err
	}
	if stopAt := f.server.stopAt.Load(); stopAt != nil && x.Deadline.After(*stopAt) {
		return notRun(rhubarbgate.CodeUnavailable, "this entry stops before the time that the request may take is over")
	}
	f.headers(x)
	if err := refuseSecret(x); err != nil {
		return err
	}
	return next(x)
}

// model sets what the exchange needs of a completion request.
func (f *routeFilter) model(x *Exchange) error {
	c, err := openai.ParseCompletion(x.Body)
	if err != nil {
		return err
	}
	m, ok := x.Config.Models[c.Model]
	if !ok {
		return notRun(rhubarbgate.CodeNotFound, "no model %q", c.Model)
	}
	x.Path = strings.Clone(x.Fiber.Path())
	x.Model, x.Stream, x.PrefixHash, x.Idempotent = c.Model, c.Stream, c.PrefixHash(), true
	f.deadline(x, m.Timeout)
	return nil
}

// service sets what the exchange needs of a request to a /services/ path.
func (f *routeFilter) service(x *Exchange, name string) error {
	r, ok := x.Config.Routes[name]
	if !ok {
		return notRun(rhubarbgate.CodeNotFound, "no service %q", name)
	}
	x.Route, x.Idempotent = name, r.Idempotent
	x.Path = "/" + strings.Clone(x.Fiber.Params("*"))
	if q := x.Fiber.Request().URI().QueryString(); len(q) > 0 {
		x.Path += "?" + string(q)
	}
	f.deadline(x, r.Timeout)
	return nil
}

// deadline replaces the default deadline if the model or route sets a timeout.
func (f *routeFilter) deadline(x *Exchange, d time.Duration) {
	if d > 0 {
		x.Deadline = x.Arrived.Add(d)
	}
}

// headers copies the forwarded headers.
func (f *routeFilter) headers(x *Exchange) {
	for _, name := range forwardedHeaders {
		if v := x.Fiber.Request().Header.Peek(name); len(v) > 0 {
			x.Headers = append(x.Headers, side.Header{Name: name, Value: string(v)})
		}
	}
}

// refuseSecret refuses a request that contains the caller's key outside of the header
// Authorization, so that the key is never forwarded to a target.
func refuseSecret(x *Exchange) error {
	if len(x.Secret) == 0 {
		return nil
	}
	found := bytes.Contains(x.Body, x.Secret) || strings.Contains(x.Path, string(x.Secret))
	for _, h := range x.Headers {
		found = found || strings.Contains(h.Value, string(x.Secret))
	}
	if found {
		return notRun(rhubarbgate.CodeInvalid, "the request carries the key outside of the header Authorization")
	}
	return nil
}

// readBody returns a copy of the body. A body larger than limit is refused.
func readBody(x *Exchange, limit int64) ([]byte, error) {
	r := x.Fiber.Context().RequestBodyStream()
	if r == nil {
		return bytes.Clone(x.Fiber.Body()), nil
	}
	b, err := readHeld(r, limit+1, x.Fiber.Context().Conn())
	if errors.Is(err, account.ErrRefused) {
		return nil, memoryInUse()
	}
	if err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return nil, tooLarge(limit)
		}
		return nil, notRun(rhubarbgate.CodeInvalid, "reading the body: %v", err)
	}
	if int64(len(b)) > limit {
		return nil, tooLarge(limit)
	}
	return b, nil
}

// readHeld reads up to limit bytes into a buffer that doubles, whose growth is charged to the connection
// before it happens. What is charged is released when the response was sent.
func readHeld(r io.Reader, limit int64, c net.Conn) ([]byte, error) {
	b := make([]byte, 0, firstBodyBytes)
	for int64(len(b)) < limit {
		if len(b) == cap(b) {
			n := min(2*cap(b), int(limit))
			if _, err := account.Hold(c, n); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, n), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return b, nil
}

// memoryInUse returns the error for a request for which there is no memory.
func memoryInUse() error {
	return notRun(rhubarbgate.CodeOverloaded, "%v", account.ErrRefused).WithRetryAfter(memoryRetryAfter)
}

func tooLarge(limit int64) error {
	return notRun(rhubarbgate.CodeTooLarge, "the body is larger than %d bytes", limit)
}
