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
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/security/reload"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// requestTimeout bounds one request of the client.
const requestTimeout = 30 * time.Second

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// Client calls the operators' HTTP API of a control host.
type Client struct {
	// Base is the URL of the control host, such as http://127.0.0.1:8081.
	Base string
	// Credential is sent as a bearer token.
	Credential string
	// Authority is the file of the fleet authority's certificate (PEM), for https URLs.
	// If it is empty, the system's certificate authorities apply.
	Authority string
}

// tlsConfig returns a configuration that trusts only the fleet authority, or nil if
// Authority is empty.
func (c *Client) tlsConfig() (*tls.Config, error) {
	if c.Authority == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return reload.ClientConfig(pem)
}

// do sends a request with in as its JSON body and decodes the response into out; either
// may be nil. It turns off fasthttp's automatic retries, so that each call sends its
// request once.
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
	t, err := c.tlsConfig()
	if err != nil {
		return errors.Trace(err)
	}
	h := fasthttp.Client{TLSConfig: t, MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	if err := h.DoTimeout(q, r, requestTimeout); err != nil {
		return errors.Annotatef(err, "%s %s", method, path)
	}
	if r.StatusCode() >= fasthttp.StatusBadRequest {
		return responseError(r.StatusCode(), r.Body())
	}
	if out == nil {
		return nil
	}
	return errors.Trace(json.Unmarshal(r.Body(), out))
}

// responseError returns the error that an error response describes.
func responseError(status int, body []byte) error {
	var e openai.ErrorBody
	if json.Unmarshal(body, &e) == nil && e.Error.Message != "" {
		return errors.Errorf("%s (%d)", e.Error.Message, status)
	}
	return errors.Errorf("status %d: %.200s", status, body)
}

// Commit commits a signed bundle.
func (c *Client) Commit(b *rhubarbgate.Bundle) (*fleet.CommitResult, error) {
	var r fleet.CommitResult
	err := c.do(fasthttp.MethodPost, "/v1/bundles", b, &r)
	return &r, err
}

// Configuration returns the configuration in force.
func (c *Client) Configuration() (*Configuration, error) {
	var r Configuration
	err := c.do(fasthttp.MethodGet, "/v1/configuration", nil, &r)
	return &r, err
}

// Status returns the status of every control host.
func (c *Client) Status() ([]HostStatus, error) {
	var r []HostStatus
	err := c.do(fasthttp.MethodGet, "/v1/status", nil, &r)
	return r, err
}

// Jobs lists the jobs of a workspace, or of all workspaces if it is empty, newest first.
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

// CancelJob cancels a job and returns its new state.
func (c *Client) CancelJob(id string) (*jobs.Job, error) {
	var r jobs.Job
	err := c.do(fasthttp.MethodPost, "/v1/jobs/"+url.PathEscape(id)+"/cancel", nil, &r)
	return &r, err
}

// Burn returns the counts from which error budget burn rates are calculated.
func (c *Client) Burn() ([]burn.Count, error) {
	var r []burn.Count
	err := c.do(fasthttp.MethodGet, "/v1/burn", nil, &r)
	return r, err
}

// ChangeMembership adds or removes a control host in all groups.
func (c *Client) ChangeMembership(q *MemberRequest) error {
	return c.do(fasthttp.MethodPost, "/v1/members", q, nil)
}

// Zones returns the evacuated availability zones.
func (c *Client) Zones() (evacuation.Set, error) {
	var r evacuation.Set
	err := c.do(fasthttp.MethodGet, "/v1/zones", nil, &r)
	return r, err
}

// OrderZone evacuates or restores an availability zone, and returns the evacuated ones.
func (c *Client) OrderZone(o evacuation.Order) (evacuation.Set, error) {
	var r evacuation.Set
	err := c.do(fasthttp.MethodPost, "/v1/zones", &o, &r)
	return r, err
}
