package operator

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/security/reload"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// requestTimeout bounds one request of the client.
	requestTimeout = 30 * time.Second
	// connectTimeout bounds the opening of a connection to one of a host's addresses.
	connectTimeout = 3 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
)

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

// do sends a request with in as its JSON body, once, and decodes the response into out; either may be nil.
func (c *Client) do(method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	q := &target.Request{Method: method, Headers: []target.Header{{Name: "Authorization", Value: "Bearer " + c.Credential}}}
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Trace(err)
		}
		q.Body = b
		q.Headers = append(q.Headers, target.Header{Name: "Content-Type", Value: "application/json"})
	}
	status, body, err := c.send(ctx, q, path)
	if err != nil && ctx.Err() != nil {
		err = errors.Errorf("no complete response within %v", requestTimeout)
	}
	if err != nil {
		return errors.Annotatef(err, "%s %s", method, path)
	}
	if status >= http.StatusBadRequest {
		return responseError(status, body)
	}
	if out == nil {
		return nil
	}
	return errors.Trace(json.Unmarshal(body, out))
}

// send sends a request for a path to the control host and returns the status and the body of the response.
func (c *Client) send(ctx context.Context, q *target.Request, path string) (int, []byte, error) {
	u, err := url.Parse(strings.TrimSuffix(c.Base, "/") + path)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	config, err := c.tlsConfig(u)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	addresses, err := resolve(ctx, u)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	q.Host, q.Path = u.Host, u.RequestURI()
	response, err := sendToFirst(ctx, addresses, config, q)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer response.Close()
	body, err := response.ReadAll(maxResponseBytes)
	return response.Status, body, errors.Trace(err)
}

// sendToFirst sends a request to the first of the addresses that accepts a connection.
func sendToFirst(ctx context.Context, addresses []netip.AddrPort, config *tls.Config, q *target.Request) (*target.Response, error) {
	var failure error
	for _, a := range addresses {
		host := &target.Client{Address: a, Dialer: &net.Dialer{Timeout: connectTimeout}, TLS: config, CloseDelimited: true}
		response, err := host.Do(ctx, q)
		if err == nil {
			return response, nil
		}
		failure = errors.Annotatef(err, "control host %v", a)
		if rhubarbgate.AsError(err).Verdict != rhubarbgate.NotRun {
			break
		}
	}
	return nil, failure
}

// tlsConfig returns the configuration for connections to a URL, or nil if they are not encrypted.
func (c *Client) tlsConfig(u *url.URL) (*tls.Config, error) {
	switch u.Scheme {
	case "http":
		return nil, nil
	case "https":
	default:
		return nil, errors.NotValidf("scheme of URL %q", u)
	}
	if c.Authority == "" {
		return &tls.Config{ServerName: u.Hostname()}, nil
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, errors.Trace(err)
	}
	config, err := reload.ClientConfig(pem)
	if err != nil {
		return nil, errors.Trace(err)
	}
	config.ServerName = u.Hostname()
	return config, nil
}

// resolve returns the addresses of a URL's host.
func resolve(ctx context.Context, u *url.URL) ([]netip.AddrPort, error) {
	port, err := net.DefaultResolver.LookupPort(ctx, "tcp", cmp.Or(u.Port(), u.Scheme))
	if err != nil {
		return nil, errors.Trace(err)
	}
	addresses, err := net.DefaultResolver.LookupNetIP(ctx, "ip", u.Hostname())
	if err != nil {
		return nil, errors.Trace(err)
	}
	var list []netip.AddrPort
	for _, a := range addresses {
		list = append(list, netip.AddrPortFrom(a.Unmap(), uint16(port)))
	}
	return list, nil
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
	err := c.do(http.MethodPost, "/v1/bundles", b, &r)
	return &r, err
}

// Configuration returns the configuration in force.
func (c *Client) Configuration() (*Configuration, error) {
	var r Configuration
	err := c.do(http.MethodGet, "/v1/configuration", nil, &r)
	return &r, err
}

// Status returns the status of every control host.
func (c *Client) Status() ([]HostStatus, error) {
	var r []HostStatus
	err := c.do(http.MethodGet, "/v1/status", nil, &r)
	return r, err
}

// Jobs lists the jobs of a workspace, or of all workspaces if it is empty, newest first.
func (c *Client) Jobs(workspace string) ([]jobs.Job, error) {
	var r []jobs.Job
	err := c.do(http.MethodGet, "/v1/jobs?workspace="+url.QueryEscape(workspace), nil, &r)
	return r, err
}

// Job returns one job.
func (c *Client) Job(id string) (*jobs.Job, error) {
	var r jobs.Job
	err := c.do(http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &r)
	return &r, err
}

// CancelJob cancels a job and returns its new state.
func (c *Client) CancelJob(id string) (*jobs.Job, error) {
	var r jobs.Job
	err := c.do(http.MethodPost, "/v1/jobs/"+url.PathEscape(id)+"/cancel", nil, &r)
	return &r, err
}

// Burn returns the counts from which error budget burn rates are calculated.
func (c *Client) Burn() ([]burn.Count, error) {
	var r []burn.Count
	err := c.do(http.MethodGet, "/v1/burn", nil, &r)
	return r, err
}

// ChangeMembership adds or removes a control host in all groups.
func (c *Client) ChangeMembership(q *MemberRequest) error {
	return c.do(http.MethodPost, "/v1/members", q, nil)
}

// Zones returns the evacuated availability zones.
func (c *Client) Zones() (evacuation.Set, error) {
	var r evacuation.Set
	err := c.do(http.MethodGet, "/v1/zones", nil, &r)
	return r, err
}

// OrderZone evacuates or restores an availability zone, and returns the evacuated ones.
func (c *Client) OrderZone(o evacuation.Order) (evacuation.Set, error) {
	var r evacuation.Set
	err := c.do(http.MethodPost, "/v1/zones", &o, &r)
	return r, err
}
