package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"hash"
	"io"
	"mime"
	"mime/multipart"
	"net/url"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// maxUploadBytes bounds an uploaded file.
	maxUploadBytes = 1 << 30
	// maxLineBytes bounds one line of it.
	maxLineBytes = 1 << 20
	// chunkItems and chunkBytes bound what is committed at once.
	chunkItems = 2000
	chunkBytes = 1 << 20
	// callTimeout bounds a call to the control hosts.
	callTimeout = 10 * time.Second
	// outputPrefix marks the identifier of a job's output file.
	outputPrefix = "output-"
)

// upload is a file on its way to the control hosts, chunk by chunk.
type upload struct {
	server   *Server
	exchange *Exchange
	group    uint32
	id       string
	digest   hash.Hash
	chunk    []jobs.ItemInput
	bytes    int
	count    int
	total    int64
}

func (s *Server) group(x *Exchange) uint32 {
	return control.GroupOf(x.Workspace, s.Source.Groups())
}

// jobs commits a jobs command of the exchange's workspace.
func (s *Server) jobs(x *Exchange, c jobs.Command) (*jobs.Result, error) {
	ctx, cancel := context.WithTimeout(x.Context, callTimeout)
	defer cancel()
	return s.Control.Jobs(ctx, s.group(x), c)
}

func (s *Server) query(x *Exchange, q *control.Query) (*control.QueryReply, error) {
	ctx, cancel := context.WithTimeout(x.Context, callTimeout)
	defer cancel()
	q.Group, q.Workspace = s.group(x), x.Workspace
	return s.Control.Query(ctx, q)
}

// createFile takes a JSONL file, as a form or as the plain body. The file is
// refused whole if one line is bad.
func (s *Server) createFile(x *Exchange) error {
	name, r, err := filePart(x)
	if err != nil {
		return err
	}
	u := &upload{server: s, exchange: x, group: s.group(x), id: s.newID("file"), digest: sha256.New()}
	if _, err := s.jobs(x, jobs.Command{CreateFile: &jobs.CreateFile{ID: u.id, Workspace: x.Workspace, Name: name}}); err != nil {
		return err
	}
	f, err := u.run(r)
	if err != nil {
		// The upload is dropped later in any case if this does not arrive.
		_, _ = s.jobs(x, jobs.Command{DropFile: &jobs.DropFile{File: u.id, Workspace: x.Workspace}})
		return err
	}
	return x.Fiber.JSON(describeFile(f))
}

// filePart finds the file in the request.
func filePart(x *Exchange) (string, io.Reader, error) {
	body := x.Fiber.Context().RequestBodyStream()
	if body == nil {
		body = strings.NewReader(string(x.Fiber.Body()))
	}
	mediaType, params, err := mime.ParseMediaType(x.Fiber.Get(fiber.HeaderContentType))
	if err != nil || mediaType != fiber.MIMEMultipartForm {
		return "input.jsonl", body, nil
	}
	m := multipart.NewReader(body, params["boundary"])
	for {
		p, err := m.NextPart()
		if err != nil {
			return "", nil, notRun(rhubarbgate.CodeInvalid, "the form has no field \"file\"")
		}
		if p.FormName() == "file" {
			return p.FileName(), p, nil
		}
	}
}

func (u *upload) run(r io.Reader) (*jobs.File, error) {
	in := bufio.NewScanner(io.LimitReader(r, maxUploadBytes+1))
	in.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	line := 0
	for in.Scan() {
		line++
		if err := u.line(line, in.Bytes()); err != nil {
			return nil, err
		}
	}
	if errors.Is(in.Err(), bufio.ErrTooLong) {
		return nil, notRun(rhubarbgate.CodeTooLarge, "line %d is longer than %d bytes", line+1, maxLineBytes)
	}
	if in.Err() != nil {
		return nil, notRun(rhubarbgate.CodeInvalid, "reading the upload: %v", in.Err())
	}
	if u.total > maxUploadBytes {
		return nil, tooLarge(maxUploadBytes)
	}
	if u.count+len(u.chunk) == 0 {
		return nil, notRun(rhubarbgate.CodeInvalid, "the file has no items")
	}
	if err := u.flush(); err != nil {
		return nil, err
	}
	return u.finish()
}

func (u *upload) line(n int, b []byte) error {
	u.total += int64(len(b)) + 1
	if len(strings.TrimSpace(string(b))) == 0 {
		return nil
	}
	x, err := u.item(b)
	if err != nil {
		e := rhubarbgate.AsError(err)
		return rhubarbgate.Errorf(e.Code, rhubarbgate.NotRun, "line %d: %s", n, e.Message)
	}
	u.digest.Write(x.Line)
	u.digest.Write([]byte("\n"))
	u.chunk = append(u.chunk, x)
	u.bytes += len(x.Line)
	if len(u.chunk) >= chunkItems || u.bytes >= chunkBytes {
		return u.flush()
	}
	return nil
}

// item checks a line and finds what it needs to run.
func (u *upload) item(b []byte) (jobs.ItemInput, error) {
	var in jobs.InputLine
	if err := openai.Decode(b, &in); err != nil {
		return jobs.ItemInput{}, err
	}
	if in.CustomID == "" {
		return jobs.ItemInput{}, notRun(rhubarbgate.CodeInvalid, "the field \"custom_id\" is missing")
	}
	x := jobs.ItemInput{Line: append([]byte(nil), b...)}
	if strings.Contains(string(b), string(u.exchange.Secret)) {
		return x, notRun(rhubarbgate.CodeInvalid, "the item carries the key")
	}
	if in.URL == openai.ChatPath || in.URL == openai.CompletionPath {
		return u.modelItem(x, &in)
	}
	return u.serviceItem(x, &in)
}

func (u *upload) modelItem(x jobs.ItemInput, in *jobs.InputLine) (jobs.ItemInput, error) {
	c, err := openai.ParseCompletion(in.Body)
	if err != nil {
		return x, err
	}
	if _, ok := u.exchange.Config.Models[c.Model]; !ok {
		return x, notRun(rhubarbgate.CodeNotFound, "no model %q", c.Model)
	}
	x.Needs, x.Idempotent = c.Model, true
	return x, nil
}

func (u *upload) serviceItem(x jobs.ItemInput, in *jobs.InputLine) (jobs.ItemInput, error) {
	name, ok := ServiceRoute(in.URL)
	if !ok {
		return x, notRun(rhubarbgate.CodeInvalid, "the url %q is neither a completion nor a service", in.URL)
	}
	r, ok := u.exchange.Config.Routes[name]
	if !ok {
		return x, notRun(rhubarbgate.CodeNotFound, "no service %q", name)
	}
	x.Needs, x.Idempotent = "/services/"+name, r.Idempotent
	return x, nil
}

// ServiceRoute returns the route of a /services/ path.
func ServiceRoute(path string) (string, bool) {
	u, err := url.Parse(path)
	if err != nil {
		return "", false
	}
	rest, ok := strings.CutPrefix(u.Path, "/services/")
	name, _, _ := strings.Cut(rest, "/")
	return name, ok && name != ""
}

func (u *upload) flush() error {
	if len(u.chunk) == 0 {
		return nil
	}
	a := &jobs.Append{File: u.id, Workspace: u.exchange.Workspace, First: u.count, Items: u.chunk}
	if _, err := u.server.jobs(u.exchange, jobs.Command{Append: a}); err != nil {
		return err
	}
	u.count += len(u.chunk)
	u.chunk, u.bytes = nil, 0
	return nil
}

func (u *upload) finish() (*jobs.File, error) {
	r, err := u.server.jobs(u.exchange, jobs.Command{FinishFile: &jobs.FinishFile{
		File: u.id, Workspace: u.exchange.Workspace, Count: u.count, Bytes: u.total,
		Key: u.exchange.IdempotencyKey, Digest: u.digest.Sum(nil),
	}})
	if err != nil {
		return nil, err
	}
	return r.File, nil
}

func describeFile(f *jobs.File) *openai.File {
	status := "uploaded"
	if f.State == jobs.Ready {
		status = "processed"
	}
	return &openai.File{
		ID: f.ID, Object: "file", Bytes: f.Bytes, CreatedAt: f.Created.Unix(),
		Filename: f.Name, Purpose: "batch", Status: status,
	}
}

func (s *Server) getFile(x *Exchange) error {
	id := strings.Clone(x.Fiber.Params("id"))
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		r, err := s.query(x, &control.Query{Job: &job})
		if err != nil {
			return err
		}
		return x.Fiber.JSON(&openai.File{ID: id, Object: "file", CreatedAt: r.Job.Created.Unix(), Filename: "output.jsonl", Purpose: "batch_output", Status: "processed"})
	}
	r, err := s.query(x, &control.Query{File: &id})
	if err != nil {
		return err
	}
	return x.Fiber.JSON(describeFile(r.File))
}

// fileContent streams the lines of a file or of a job's output.
func (s *Server) fileContent(x *Exchange) error {
	id := strings.Clone(x.Fiber.Params("id"))
	p := &pages{server: s, exchange: x, query: control.PageQuery{ID: id, MaxBytes: chunkBytes}}
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		p.query.ID, p.output = job, true
	}
	// The first page is read now, so that an error still has a status.
	if err := p.load(); err != nil {
		return err
	}
	x.Fiber.Set(fiber.HeaderContentType, "application/jsonl")
	x.Fiber.Response().SetBodyStream(p, -1)
	return nil
}

// pages reads lines page by page. It outlives the handler, so it keeps nothing
// of the request but its workspace.
type pages struct {
	server   *Server
	exchange *Exchange
	query    control.PageQuery
	output   bool
	rest     []byte
	done     bool
}

func (p *pages) load() error {
	q := &control.Query{}
	page := p.query
	if p.output {
		q.Output = &page
	} else {
		q.Input = &page
	}
	r, err := p.server.query(p.exchange, q)
	if err != nil {
		return err
	}
	if r.Page == nil {
		return fmt.Errorf("reply without a page")
	}
	for _, l := range r.Page.Lines {
		p.rest = append(append(p.rest, l...), '\n')
	}
	p.query.Index = r.Page.Next
	p.done = r.Page.Next < 0
	return nil
}

// Read implements io.Reader.
func (p *pages) Read(b []byte) (int, error) {
	for len(p.rest) == 0 {
		if p.done {
			return 0, io.EOF
		}
		if err := p.load(); err != nil {
			return 0, err
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (p *pages) Close() error {
	p.server.active.Add(-1)
	return nil
}
