// Package operator serves the operators' HTTP interface on the control hosts, and holds its client.
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
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	callTimeout = 10 * time.Second
	// statusTimeout bounds the question to one host, which may be down.
	statusTimeout = time.Second
	// maxBodyBytes bounds a bundle.
	maxBodyBytes = 16 << 20
	// jobLimit bounds the jobs in a list.
	jobLimit = 1000
)

// Server answers operators. Set the exported fields before Serve.
type Server struct {
	// Credential is what operators show as a bearer token.
	Credential string
	Client     *control.Client
	Source     configuration.Source

	app *fiber.App
}

// Configuration is the configuration in force.
type Configuration struct {
	Version uint64
	Age     time.Duration
	Section rhubarbgate.Section
}

// HostStatus is one control host, or why it did not answer.
type HostStatus struct {
	Address netip.AddrPort
	Error   string `json:",omitempty"`
	Status  *control.StatusReply
}

// MemberRequest changes the membership of all groups.
type MemberRequest struct {
	// Add is the address of a control host that runs with --join.
	Add    netip.AddrPort
	Remove uint64
}

// Prepare builds the routes; call it once before Serve.
func (s *Server) Prepare() {
	s.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: maxBodyBytes, ErrorHandler: report})
	s.app.Use(s.authenticate)
	s.app.Get("/v1/status", s.status)
	s.app.Get("/v1/configuration", s.configuration)
	s.app.Post("/v1/bundles", s.commit)
	s.app.Get("/v1/jobs", s.jobs)
	s.app.Get("/v1/jobs/:id", s.job)
	s.app.Post("/v1/jobs/:id/cancel", s.cancel)
	s.app.Get("/v1/burn", s.burn)
	s.app.Post("/v1/members", s.member)
}

// Serve answers on l until Close.
func (s *Server) Serve(l net.Listener) error { return errors.Trace(s.app.Listener(l)) }

// Close stops the server.
func (s *Server) Close() error { return errors.Trace(s.app.ShutdownWithTimeout(time.Second)) }

func report(c *fiber.Ctx, err error) error {
	var f *fiber.Error
	if errors.As(err, &f) {
		return c.Status(f.Code).SendString(f.Message)
	}
	e := rhubarbgate.AsError(err)
	c.Set(openai.VerdictHeader, e.Verdict.String())
	return c.Status(e.Code.Status()).JSON(openai.NewErrorBody(e))
}

func (s *Server) authenticate(c *fiber.Ctx) error {
	given := sha256.Sum256([]byte(strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")))
	want := sha256.Sum256([]byte(s.Credential))
	if subtle.ConstantTimeCompare(given[:], want[:]) != 1 {
		return rhubarbgate.Errorf(rhubarbgate.CodeUnauthorized, rhubarbgate.NotRun, "the operator credential is missing or wrong")
	}
	return c.Next()
}

func call(c *fiber.Ctx) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), callTimeout)
}

func (s *Server) status(c *fiber.Ctx) error {
	var r []HostStatus
	for _, a := range s.Client.Hosts {
		ctx, cancel := context.WithTimeout(c.Context(), statusTimeout)
		x, err := s.Client.Status(ctx, a)
		cancel()
		h := HostStatus{Address: a, Status: x}
		if err != nil {
			h.Error = err.Error()
		}
		r = append(r, h)
	}
	return c.JSON(r)
}

func (s *Server) configuration(c *fiber.Ctx) error {
	x := s.Source.Current()
	age := s.Client.Clock.Since(s.Source.ConfirmedAt())
	return c.JSON(&Configuration{Version: x.Version, Age: age, Section: x.Section()})
}

func (s *Server) commit(c *fiber.Ctx) error {
	var b rhubarbgate.Bundle
	if err := decodeStrict(c.Body(), &b); err != nil {
		return err
	}
	ctx, cancel := call(c)
	defer cancel()
	r, err := s.Client.Commit(ctx, &control.Commit{Bundle: b})
	if err != nil {
		return err
	}
	if r.Result.Err != nil {
		return r.Result.Err
	}
	return c.JSON(&fleet.CommitResult{Repeated: r.Result.Repeated, Version: r.Result.Version})
}

// decodeStrict reads JSON and refuses fields that it does not know.
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

// groups calls f for each job group.
func (s *Server) groups(f func(group uint32) error) error {
	for g := 1; g <= s.Source.Groups(); g++ {
		if err := f(uint32(g)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) jobs(c *fiber.Ctx) error {
	ctx, cancel := call(c)
	defer cancel()
	list := []jobs.Job{}
	limit := jobLimit
	err := s.groups(func(g uint32) error {
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
	return c.JSON(list[:min(len(list), jobLimit)])
}

// find returns the job and its group.
func (s *Server) find(ctx context.Context, id string) (*jobs.Job, uint32, error) {
	var found *jobs.Job
	var group uint32
	err := s.groups(func(g uint32) error {
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
	ctx, cancel := call(c)
	defer cancel()
	j, _, err := s.find(ctx, strings.Clone(c.Params("id")))
	if err != nil {
		return err
	}
	return c.JSON(j)
}

func (s *Server) cancel(c *fiber.Ctx) error {
	ctx, cancel := call(c)
	defer cancel()
	id := strings.Clone(c.Params("id"))
	j, group, err := s.find(ctx, id)
	if err != nil {
		return err
	}
	r, err := s.Client.Jobs(ctx, group, jobs.Command{CancelJob: &jobs.CancelJob{Job: id, Workspace: j.Workspace}})
	if err != nil {
		return err
	}
	return c.JSON(r.Job)
}

func (s *Server) burn(c *fiber.Ctx) error {
	ctx, cancel := call(c)
	defer cancel()
	list := []burn.Count{}
	err := s.groups(func(g uint32) error {
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

// member adds or removes a control host in every group.
func (s *Server) member(c *fiber.Ctx) error {
	var q MemberRequest
	if err := decodeStrict(c.Body(), &q); err != nil {
		return err
	}
	ctx, cancel := call(c)
	defer cancel()
	in := control.Member{Remove: q.Remove}
	if q.Add.IsValid() {
		h, err := s.Client.Hello(ctx, q.Add)
		if err != nil {
			return err
		}
		in.Add = &raft.Member{ID: h.ID, Incarnation: h.Incarnation, Address: h.Address}
	}
	for g := 0; g <= s.Source.Groups(); g++ {
		x := in
		x.Group = uint32(g)
		if _, err := s.Client.Member(ctx, &x); err != nil {
			return err
		}
	}
	return c.SendStatus(fiber.StatusNoContent)
}
