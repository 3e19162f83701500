package operator

import (
	"crypto/tls"
	"encoding/json"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/security/reload"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// requestTimeout bounds one request of an operator's tool.
const requestTimeout = 30 * time.Second

// Client calls the operators' interface.
type Client struct {
	// Base is the address, such as http://127.0.0.1:8081.
	Base       string
	Credential string
	// Authority is the file of the fleet authority, for https addresses.
	Authority string
}

// tls returns settings that know the control hosts by the fleet's authority.
func (c *Client) tls() (*tls.Config, error) {
	if c.Authority == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return reload.ServerOnly(pem)
}

// do sends a request. The library must not repeat it by itself.
func (c *Client) do(method, path string, in, out any) error {
	q, r := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(r)
	q.Header.SetMethod(method)
	q.SetRequestURI(c.Base + path)
	q.Header.Set("Authorization", "Bearer "+c.Credential)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Trace(err)
		}
		q.SetBody(b)
		q.Header.SetContentType("application/json")
	}
	t, err := c.tls()
	if err != nil {
		return errors.Trace(err)
	}
	h := fasthttp.Client{TLSConfig: t, MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	if err := h.DoTimeout(q, r, requestTimeout); err != nil {
		return errors.Annotatef(err, "%s %s", method, path)
	}
	if r.StatusCode() >= fasthttp.StatusBadRequest {
		return failure(r.StatusCode(), r.Body())
	}
	if out == nil {
		return nil
	}
	return errors.Trace(json.Unmarshal(r.Body(), out))
}

func failure(status int, body []byte) error {
	var e openai.ErrorBody
	if json.Unmarshal(body, &e) == nil && e.Error.Message != "" {
		return errors.Errorf("%s (%d)", e.Error.Message, status)
	}
	return errors.Errorf("status %d: %.200s", status, body)
}

// Commit commits a signed bundle.
func (c *Client) Commit(b *rhubarbgate.Bundle) (*fleet.Committed, error) {
	var r fleet.Committed
	err := c.do(fasthttp.MethodPost, "/v1/bundles", b, &r)
	return &r, err
}

// Configuration returns the configuration in force.
func (c *Client) Configuration() (*Configuration, error) {
	var r Configuration
	err := c.do(fasthttp.MethodGet, "/v1/configuration", nil, &r)
	return &r, err
}

// Status returns the state of the control hosts.
func (c *Client) Status() ([]HostStatus, error) {
	var r []HostStatus
	err := c.do(fasthttp.MethodGet, "/v1/status", nil, &r)
	return r, err
}

// Jobs lists the jobs of a workspace; an empty one means all.
func (c *Client) Jobs(workspace string) ([]jobs.Job, error) {
	var r []jobs.Job
	err := c.do(fasthttp.MethodGet, "/v1/jobs?workspace="+url.QueryEscape(workspace), nil, &r)
	return r, err
}

// Job returns one job.
func (c *Client) Job(id string) (*jobs.Job, error) {
	var r jobs.Job
	err := c.do(fasthttp.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &r)
	return &r, err
}

// CancelJob cancels a job.
func (c *Client) CancelJob(id string) (*jobs.Job, error) {
	var r jobs.Job
	err := c.do(fasthttp.MethodPost, "/v1/jobs/"+url.PathEscape(id)+"/cancel", nil, &r)
	return &r, err
}

// Burn returns the service-level counts.
func (c *Client) Burn() ([]burn.Count, error) {
	var r []burn.Count
	err := c.do(fasthttp.MethodGet, "/v1/burn", nil, &r)
	return r, err
}

// ChangeMembership changes the membership of the control hosts.
func (c *Client) ChangeMembership(q *MemberRequest) error {
	return c.do(fasthttp.MethodPost, "/v1/members", q, nil)
}
