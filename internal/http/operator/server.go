// Package operator implements the operators' HTTP API of the control hosts and a client for it.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/recover"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// callTimeout bounds the calls to the groups for one request.
	callTimeout = 10 * time.Second
	// statusTimeout bounds the status call to one host, which may be down.
	statusTimeout = time.Second
	// MaxBodyBytes is the largest request body, which is a bundle.
	MaxBodyBytes = 16 << 20
	// maxListedJobs is the maximum number of jobs in a list.
	maxListedJobs = 1000
)

// Server serves operators. Set the exported fields before Serve.
type Server struct {
	// Credential is the bearer token that every request must carry.
	Credential string
	// Client calls the control hosts.
	Client *control.Client
	// Source provides the configuration in force.
	Source configuration.Source

	app *fiber.App
}

// Configuration is the configuration in force. Age is how long ago the control host
// confirmed it.
type Configuration struct {
	Version uint64
	Age     time.Duration
	Section rhubarbgate.Section
}

// HostStatus is the status of one control host. If the status call failed, Error is set.
type HostStatus struct {
	Address netip.AddrPort
	Error   string `json:",omitempty"`
	Status  *control.StatusReply
}

// MemberRequest is a change of the membership of all groups.
type MemberRequest struct {
	// Add is the address of a control host that runs with --join.
	Add netip.AddrPort
	// Remove is the ID of a control host; 0 means none.
	Remove uint64
}

// Prepare registers the routes. Call it once, before Serve.
func (s *Server) Prepare() {
	s.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: MaxBodyBytes, ReduceMemoryUsage: true, ErrorHandler: writeError})
	s.app.Use(recover.New(recover.Config{EnableStackTrace: true}))
	s.app.Use(s.authenticate)
	s.app.Get("/v1/status", s.status)
	s.app.Get("/v1/configuration", s.configuration)
	s.app.Post("/v1/bundles", s.commit)
	s.app.Get("/v1/jobs", s.jobs)
	s.app.Get("/v1/jobs/:id", s.job)
	s.app.Post("/v1/jobs/:id/cancel", s.cancel)
	s.app.Get("/v1/burn", s.burn)
	s.app.Post("/v1/members", s.member)
	s.app.Get("/v1/zones", s.zones)
	s.app.Post("/v1/zones", s.orderZone)
}

// Serve serves operators on l until Close.
func (s *Server) Serve(l net.Listener) error { return errors.Trace(s.app.Listener(l)) }

// Close stops the server; requests in flight have one second to end.
func (s *Server) Close() error { return errors.Trace(s.app.ShutdownWithTimeout(time.Second)) }

// writeError sends err as the response.
func writeError(c *fiber.Ctx, err error) error {
	var f *fiber.Error
	if errors.As(err, &f) {
		return c.Status(f.Code).SendString(f.Message)
	}
	e := rhubarbgate.AsError(err)
	c.Set(openai.VerdictHeader, e.Verdict.String())
	return c.Status(e.Code.Status()).JSON(openai.NewErrorBody(e))
}

// authenticate refuses requests without the credential. It compares digests in constant
// time, so that the duration shows neither the credential's length nor its content.
func (s *Server) authenticate(c *fiber.Ctx) error {
	given := sha256.Sum256([]byte(strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")))
	want := sha256.Sum256([]byte(s.Credential))
	if subtle.ConstantTimeCompare(given[:], want[:]) != 1 {
		return rhubarbgate.Errorf(rhubarbgate.CodeUnauthorized, rhubarbgate.NotRun, "the operator credential is missing or wrong")
	}
	return c.Next()
}

// withCallTimeout returns a context for the calls of one request.
func withCallTimeout(c *fiber.Ctx) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), callTimeout)
}

// status queries the hosts one after the other and lists those that fail with the error.
func (s *Server) status(c *fiber.Ctx) error {
	var r []HostStatus
	for _, a := range s.Client.Hosts {
		ctx, cancel := context.WithTimeout(c.Context(), statusTimeout)
		reply, err := s.Client.Status(ctx, a)
		cancel()
		h := HostStatus{Address: a, Status: reply}
		if err != nil {
			h.Error = err.Error()
		}
		r = append(r, h)
	}
	return c.JSON(r)
}

func (s *Server) configuration(c *fiber.Ctx) error {
	current := s.Source.Current()
	age := s.Client.Clock.Since(s.Source.ConfirmedAt())
	return c.JSON(&Configuration{Version: current.Version, Age: age, Section: current.Section()})
}

func (s *Server) commit(c *fiber.Ctx) error {
	b, err := DecodeBundle(c.Body())
	if err != nil {
		return err
	}
	ctx, cancel := withCallTimeout(c)
	defer cancel()
	reply, err := s.Client.Commit(ctx, &control.Commit{Bundle: *b})
	if err != nil {
		return err
	}
	if reply.Result.Err != nil {
		return reply.Result.Err
	}
	return c.JSON(&fleet.CommitResult{Repeated: reply.Result.Repeated, Version: reply.Result.Version})
}

// DecodeBundle decodes the body of a call that commits a bundle.
func DecodeBundle(body []byte) (*rhubarbgate.Bundle, error) {
	var b rhubarbgate.Bundle
	if err := decodeStrict(body, &b); err != nil {
		return nil, err
	}
	return &b, nil
}

// decodeStrict decodes JSON and refuses unknown fields, since a misspelled field in a
// bundle would otherwise be lost without an error.
func decodeStrict(body []byte, v any) error {
	if err := openai.Decode(body, v); err != nil {
		return err
	}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "%v", err)
	}
	return nil
}

// eachJobGroup calls f for each job group until one call fails.
func (s *Server) eachJobGroup(f func(group uint32) error) error {
	for g := 1; g <= s.Source.Groups(); g++ {
		if err := f(uint32(g)); err != nil {
			return err
		}
	}
	return nil
}

// jobs lists the newest jobs of all job groups.
func (s *Server) jobs(c *fiber.Ctx) error {
	ctx, cancel := withCallTimeout(c)
	defer cancel()
	list := []jobs.Job{}
	limit := maxListedJobs
	err := s.eachJobGroup(func(g uint32) error {
		r, err := s.Client.Query(ctx, &control.Query{Group: g, Workspace: c.Query("workspace"), List: &limit})
		if err == nil {
			list = append(list, r.List...)
		}
		return err
	})
	if err != nil {
		return err
	}
	slices.SortFunc(list, func(a, b jobs.Job) int { return b.Created.Compare(a.Created) })
	return c.JSON(list[:min(len(list), maxListedJobs)])
}

// findJob searches all job groups for a job and returns it and its group. The ID alone
// does not determine the group, which depends on the workspace.
func (s *Server) findJob(ctx context.Context, id string) (*jobs.Job, uint32, error) {
	var found *jobs.Job
	var group uint32
	err := s.eachJobGroup(func(g uint32) error {
		r, err := s.Client.Query(ctx, &control.Query{Group: g, Job: &id})
		if err == nil {
			found, group = r.Job, g
		}
		if rhubarbgate.HasCode(err, rhubarbgate.CodeNotFound) {
			return nil
		}
		return err
	})
	if err == nil && found == nil {
		err = rhubarbgate.Errorf(rhubarbgate.CodeNotFound, rhubarbgate.NotRun, "no job %q", id)
	}
	return found, group, err
}

func (s *Server) job(c *fiber.Ctx) error {
	ctx, cancel := withCallTimeout(c)
	defer cancel()
	j, _, err := s.findJob(ctx, strings.Clone(c.Params("id")))
	if err != nil {
		return err
	}
	return c.JSON(j)
}

func (s *Server) cancel(c *fiber.Ctx) error {
	ctx, cancel := withCallTimeout(c)
	defer cancel()
	id := strings.Clone(c.Params("id"))
	j, group, err := s.findJob(ctx, id)
	if err != nil {
		return err
	}
	r, err := s.Client.Jobs(ctx, group, jobs.Command{CancelJob: &jobs.CancelJob{Job: id, Workspace: j.Workspace}})
	if err != nil {
		return err
	}
	return c.JSON(r.Job)
}

// burn collects the service-level counts of all job groups.
func (s *Server) burn(c *fiber.Ctx) error {
	ctx, cancel := withCallTimeout(c)
	defer cancel()
	list := []burn.Count{}
	err := s.eachJobGroup(func(g uint32) error {
		r, err := s.Client.Query(ctx, &control.Query{Group: g, Burn: true})
		if err == nil {
			list = append(list, r.Burn...)
		}
		return err
	})
	if err != nil {
		return err
	}
	return c.JSON(list)
}

// member adds or removes a control host in every group: the fleet group 0 and the job
// groups. If it fails for one group, the earlier groups stay changed.
func (s *Server) member(c *fiber.Ctx) error {
	var q MemberRequest
	if err := decodeStrict(c.Body(), &q); err != nil {
		return err
	}
	ctx, cancel := withCallTimeout(c)
	defer cancel()
	change := control.Member{Remove: q.Remove}
	if q.Add.IsValid() {
		h, err := s.Client.Hello(ctx, q.Add)
		if err != nil {
			return err
		}
		change.Add = &raft.Member{ID: h.ID, Incarnation: h.Incarnation, Address: h.Address}
	}
	for g := 0; g <= s.Source.Groups(); g++ {
		m := change
		m.Group = uint32(g)
		if _, err := s.Client.Member(ctx, &m); err != nil {
			return err
		}
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// zones lists the evacuated availability zones.
func (s *Server) zones(c *fiber.Ctx) error {
	ctx, cancel := withCallTimeout(c)
	defer cancel()
	r, err := s.Client.Evacuation(ctx)
	if err != nil {
		return err
	}
	return c.JSON(&r.Set)
}

// orderZone evacuates or restores an availability zone. The response is the set in force then.
func (s *Server) orderZone(c *fiber.Ctx) error {
	var o evacuation.Order
	if err := decodeStrict(c.Body(), &o); err != nil {
		return err
	}
	ctx, cancel := withCallTimeout(c)
	defer cancel()
	r, err := s.Client.Evacuate(ctx, o)
	if err != nil {
		return err
	}
	return c.JSON(&r.Set)
}
