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
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// maxUploadBytes is the largest file that may be uploaded.
	maxUploadBytes = 1 << 30
	// maxLineBytes is the longest line of an uploaded file.
	maxLineBytes = 1 << 20
	// maxChunkItems and maxChunkBytes limit the items of one commit: a chunk is
	// committed once it has reached either. maxChunkBytes also bounds a page that is read.
	maxChunkItems = 2000
	maxChunkBytes = 1 << 20
	// uploadBytes is what an upload holds: the longest line and a chunk, each of which is copied to be
	// decoded or sent.
	uploadBytes = 2*maxLineBytes + 4*maxChunkBytes
	// callTimeout bounds a call to the control hosts.
	callTimeout = 10 * time.Second
	// outputPrefix followed by a job's ID is the ID of the job's output file.
	outputPrefix = "output-"
)

// upload reads an uploaded file and commits its items in chunks.
type upload struct {
	server         *Server
	exchange       *Exchange
	group          uint32
	id             string
	digest         hash.Hash        // of all lines that are not blank
	chunk          []jobs.ItemInput // not committed yet
	chunkBytes     int
	committedItems int
	totalBytes     int64 // read so far
}

// group returns the job group of the exchange's workspace.
func (s *Server) group(x *Exchange) uint32 {
	return control.GroupOf(x.Workspace, s.Source.Groups())
}

// commitJobs commits a command for the exchange's workspace.
func (s *Server) commitJobs(x *Exchange, c jobs.Command) (*jobs.Result, error) {
	ctx, cancel := context.WithTimeout(x.Context, callTimeout)
	defer cancel()
	return s.Control.Jobs(ctx, s.group(x), c)
}

// query reads jobs or files of the exchange's workspace.
func (s *Server) query(x *Exchange, q *control.Query) (*control.QueryReply, error) {
	ctx, cancel := context.WithTimeout(x.Context, callTimeout)
	defer cancel()
	q.Group, q.Workspace = s.group(x), x.Workspace
	return s.Control.Query(ctx, q)
}

// createFile stores an uploaded JSONL file, sent as a form or as the plain body. One
// invalid line refuses the entire file.
func (s *Server) createFile(x *Exchange) error {
	name, r, err := filePart(x)
	if err != nil {
		return err
	}
	if _, err := account.Hold(x.Fiber.Context().Conn(), uploadBytes); err != nil {
		return memoryInUse()
	}
	u := &upload{server: s, exchange: x, group: s.group(x), id: s.newID("file"), digest: sha256.New()}
	if _, err := s.commitJobs(x, jobs.Command{CreateFile: &jobs.CreateFile{ID: u.id, Workspace: x.Workspace, Name: name}}); err != nil {
		return err
	}
	f, err := u.readLines(r)
	if err != nil {
		// If this call fails, the unfinished file is removed later.
		_, _ = s.commitJobs(x, jobs.Command{DropFile: &jobs.DropFile{File: u.id, Workspace: x.Workspace}})
		return err
	}
	return x.Fiber.JSON(fileObject(f))
}

// filePart returns the name and content of the file in the request.
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

// readLines reads the file line by line, commits its items and finishes it.
func (u *upload) readLines(r io.Reader) (*jobs.File, error) {
	in := bufio.NewScanner(io.LimitReader(r, maxUploadBytes+1))
	in.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	line := 0
	for in.Scan() {
		line++
		if err := u.addLine(line, in.Bytes()); err != nil {
			return nil, err
		}
	}
	if errors.Is(in.Err(), bufio.ErrTooLong) {
		return nil, notRun(rhubarbgate.CodeTooLarge, "line %d is longer than %d bytes", line+1, maxLineBytes)
	}
	if in.Err() != nil {
		return nil, notRun(rhubarbgate.CodeInvalid, "reading the upload: %v", in.Err())
	}
	if u.totalBytes > maxUploadBytes {
		return nil, tooLarge(maxUploadBytes)
	}
	if u.committedItems+len(u.chunk) == 0 {
		return nil, notRun(rhubarbgate.CodeInvalid, "the file has no items")
	}
	if err := u.commitChunk(); err != nil {
		return nil, err
	}
	return u.finish()
}

// addLine adds line n of the file to the chunk, and commits the chunk if it is full.
func (u *upload) addLine(n int, b []byte) error {
	u.totalBytes += int64(len(b)) + 1
	if len(strings.TrimSpace(string(b))) == 0 {
		return nil
	}
	item, err := u.parseItem(b)
	if err != nil {
		e := rhubarbgate.AsError(err)
		return rhubarbgate.Errorf(e.Code, rhubarbgate.NotRun, "line %d: %s", n, e.Message)
	}
	u.digest.Write(item.Line)
	u.digest.Write([]byte("\n"))
	u.chunk = append(u.chunk, item)
	u.chunkBytes += len(item.Line)
	if len(u.chunk) >= maxChunkItems || u.chunkBytes >= maxChunkBytes {
		return u.commitChunk()
	}
	return nil
}

// parseItem validates a line and determines the model or service that it needs.
func (u *upload) parseItem(b []byte) (jobs.ItemInput, error) {
	var in jobs.InputLine
	if err := openai.Decode(b, &in); err != nil {
		return jobs.ItemInput{}, err
	}
	if in.CustomID == "" {
		return jobs.ItemInput{}, notRun(rhubarbgate.CodeInvalid, "the field \"custom_id\" is missing")
	}
	item := jobs.ItemInput{Line: append([]byte(nil), b...)}
	if strings.Contains(string(b), string(u.exchange.Secret)) {
		return item, notRun(rhubarbgate.CodeInvalid, "the item carries the key")
	}
	if in.URL == openai.ChatPath || in.URL == openai.CompletionPath {
		return u.modelItem(item, &in)
	}
	return u.serviceItem(item, &in)
}

// modelItem sets the model that a completion needs.
func (u *upload) modelItem(item jobs.ItemInput, in *jobs.InputLine) (jobs.ItemInput, error) {
	c, err := openai.ParseCompletion(in.Body)
	if err != nil {
		return item, err
	}
	if _, ok := u.exchange.Config.Models[c.Model]; !ok {
		return item, notRun(rhubarbgate.CodeNotFound, "no model %q", c.Model)
	}
	item.Needs, item.Idempotent = c.Model, true
	return item, nil
}

// serviceItem sets the service that an item of a /services/ path needs.
func (u *upload) serviceItem(item jobs.ItemInput, in *jobs.InputLine) (jobs.ItemInput, error) {
	name, ok := ServiceRoute(in.URL)
	if !ok {
		return item, notRun(rhubarbgate.CodeInvalid, "the url %q is neither a completion nor a service", in.URL)
	}
	r, ok := u.exchange.Config.Routes[name]
	if !ok {
		return item, notRun(rhubarbgate.CodeNotFound, "no service %q", name)
	}
	item.Needs, item.Idempotent = "/services/"+name, r.Idempotent
	return item, nil
}

// ServiceRoute returns the name of the route in a /services/ path. It reports false for
// any other path.
func ServiceRoute(path string) (string, bool) {
	u, err := url.Parse(path)
	if err != nil {
		return "", false
	}
	rest, ok := strings.CutPrefix(u.Path, "/services/")
	name, _, _ := strings.Cut(rest, "/")
	return name, ok && name != ""
}

// commitChunk commits the items of the chunk and empties it.
func (u *upload) commitChunk() error {
	if len(u.chunk) == 0 {
		return nil
	}
	a := &jobs.Append{File: u.id, Workspace: u.exchange.Workspace, First: u.committedItems, Items: u.chunk}
	if _, err := u.server.commitJobs(u.exchange, jobs.Command{Append: a}); err != nil {
		return err
	}
	u.committedItems += len(u.chunk)
	u.chunk, u.chunkBytes = nil, 0
	return nil
}

// finish marks the file as complete.
func (u *upload) finish() (*jobs.File, error) {
	r, err := u.server.commitJobs(u.exchange, jobs.Command{FinishFile: &jobs.FinishFile{
		File: u.id, Workspace: u.exchange.Workspace, Count: u.committedItems, Bytes: u.totalBytes,
		Key: u.exchange.IdempotencyKey, Digest: u.digest.Sum(nil),
	}})
	if err != nil {
		return nil, err
	}
	return r.File, nil
}

// fileObject returns the API's representation of a file.
func fileObject(f *jobs.File) *openai.File {
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
	return x.Fiber.JSON(fileObject(r.File))
}

// fileContent streams the lines of a file or of a job's output.
func (s *Server) fileContent(x *Exchange) error {
	id := strings.Clone(x.Fiber.Params("id"))
	p := &pageReader{server: s, exchange: x, query: control.PageQuery{ID: id, MaxBytes: maxChunkBytes}}
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		p.query.ID, p.output = job, true
	}
	// The first page is read before the status is sent, so that an error can set it.
	if err := p.loadPage(); err != nil {
		return err
	}
	x.Fiber.Set(fiber.HeaderContentType, "application/jsonl")
	x.Fiber.Response().SetBodyStream(p, -1)
	return nil
}

// pageReader reads the lines of a file or of a job's output page by page. It is read
// after the handler has returned, when the server may reuse the request, so of the
// exchange it uses only the context and the workspace.
type pageReader struct {
	server   *Server
	exchange *Exchange
	query    control.PageQuery
	output   bool // the lines are those of a job's output
	unread   []byte
	done     bool // there is no further page
}

// loadPage reads the next page.
func (p *pageReader) loadPage() error {
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
		p.unread = append(append(p.unread, l...), '\n')
	}
	p.query.Index = r.Page.Next
	p.done = r.Page.Next < 0
	return nil
}

// Read implements io.Reader.
func (p *pageReader) Read(b []byte) (int, error) {
	for len(p.unread) == 0 {
		if p.done {
			return 0, io.EOF
		}
		if err := p.loadPage(); err != nil {
			return 0, err
		}
	}
	n := copy(b, p.unread)
	p.unread = p.unread[n:]
	return n, nil
}

// Close implements io.Closer. The server calls it when the body has been sent or the
// connection failed.
func (p *pageReader) Close() error {
	p.server.inFlight.Add(-1)
	return nil
}
