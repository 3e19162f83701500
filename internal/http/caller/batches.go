package caller

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// defaultCompletionWindow applies to a batch that sets no completion window.
	defaultCompletionWindow = 24 * time.Hour
	// maxCompletionWindow is the longest completion window that a batch may set.
	maxCompletionWindow = 14 * 24 * time.Hour
	// maxListedBatches is the maximum number of batches in a list.
	maxListedBatches = 100
)

func (s *Server) createBatch(x *Exchange) error {
	body, err := readBody(x, maxBodyBytes)
	if err != nil {
		return err
	}
	var q openai.BatchRequest
	if err := openai.Decode(body, &q); err != nil {
		return err
	}
	if q.InputFileID == "" {
		return notRun(rhubarbgate.CodeInvalid, "the field \"input_file_id\" is missing")
	}
	window, err := parseCompletionWindow(q.CompletionWindow)
	if err != nil {
		return err
	}
	digest := sha256.Sum256([]byte(q.InputFileID + "\x00" + q.Endpoint + "\x00" + window.String()))
	r, err := s.commitJobs(x, jobs.Command{CreateJob: &jobs.CreateJob{
		ID: s.newID("batch"), Workspace: x.Workspace, File: q.InputFileID, Endpoint: q.Endpoint,
		Window: window, Key: x.IdempotencyKey, Digest: digest[:],
	}})
	if err != nil {
		return err
	}
	return x.Fiber.JSON(batchObject(r.Job))
}

// parseCompletionWindow parses a Go duration such as "24h". An empty string means
// defaultCompletionWindow.
func parseCompletionWindow(s string) (time.Duration, error) {
	if s == "" {
		return defaultCompletionWindow, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 || d > maxCompletionWindow {
		return 0, notRun(rhubarbgate.CodeInvalid, "the field \"completion_window\" is %q, not a duration such as \"24h\" up to %v", s, maxCompletionWindow)
	}
	return d, nil
}

// batchObject returns the API's representation of a job.
func batchObject(j *jobs.Job) *openai.Batch {
	status := map[jobs.JobState]string{jobs.Running: "in_progress", jobs.Completed: "completed", jobs.JobCancelled: "cancelled"}[j.State]
	b := &openai.Batch{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.File, OutputFileID: outputPrefix + j.ID,
		CompletionWindow: j.Due.Sub(j.Created).String(), Status: status,
		CreatedAt: j.Created.Unix(), ExpiresAt: j.Due.Unix(),
		RequestCounts: openai.RequestCounts{Total: j.Counts.Total, Completed: j.Counts.Done, Failed: j.Counts.Failed, Cancelled: j.Counts.Cancelled},
	}
	if !j.Ended.IsZero() {
		b.CompletedAt = j.Ended.Unix()
	}
	return b
}

func (s *Server) getBatch(x *Exchange) error {
	id := strings.Clone(x.Fiber.Params("id"))
	r, err := s.query(x, &control.Query{Job: &id})
	if err != nil {
		return err
	}
	return x.Fiber.JSON(batchObject(r.Job))
}

func (s *Server) cancelBatch(x *Exchange) error {
	id := strings.Clone(x.Fiber.Params("id"))
	r, err := s.commitJobs(x, jobs.Command{CancelJob: &jobs.CancelJob{Job: id, Workspace: x.Workspace}})
	if err != nil {
		return err
	}
	return x.Fiber.JSON(batchObject(r.Job))
}

func (s *Server) listBatches(x *Exchange) error {
	limit := maxListedBatches
	r, err := s.query(x, &control.Query{List: &limit})
	if err != nil {
		return err
	}
	l := openai.List[*openai.Batch]{Object: "list", Data: []*openai.Batch{}}
	for i := range r.List {
		l.Data = append(l.Data, batchObject(&r.List[i]))
	}
	return x.Fiber.JSON(&l)
}

func (s *Server) listModels(x *Exchange) error {
	l := openai.List[openai.Model]{Object: "list", Data: []openai.Model{}}
	for name := range x.Config.Models {
		l.Data = append(l.Data, openai.Model{ID: name, Object: "model", OwnedBy: "rhubarbgate"})
	}
	slices.SortFunc(l.Data, func(a, b openai.Model) int { return cmp.Compare(a.ID, b.ID) })
	return x.Fiber.JSON(&l)
}
