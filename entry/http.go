// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/limit"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/problem"
)

// servicePath is the path prefix of calls to plain services.
const servicePath = "/services/"

// Handler returns the handler of callers' requests.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, e.completion(false))
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, e.completion(true))
	})
	mux.HandleFunc("GET /v1/models", func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, e.models)
	})
	mux.HandleFunc(servicePath+"{service}/", func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, e.call)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		problem.New(problem.CodeNotFound, http.StatusNotFound, "there is nothing at this path").Write(w, "")
	})
	return mux
}

// serve authenticates the customer and calls f, which handles the request. It sends the error
// that f returns.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, f func(http.ResponseWriter, *http.Request, *job) *problem.Error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	j := &job{
		id:      e.newID(),
		arrived: steady.Now(),
	}
	w.Header().Set(HeaderRequest, j.id)
	e.metrics.add("requests", 1)
	fail := e.identify(r, j)
	if fail == nil {
		fail = f(w, r, j)
	}
	if fail == nil {
		return
	}
	e.recordRefusal(j, fail)
	fail.Write(w, j.id)
}

// recordRefusal counts, logs and traces the error that ends a request.
func (e *Entry) recordRefusal(j *job, p *problem.Error) {
	e.metrics.add("refused_"+string(p.Code), 1)
	customer := ""
	if j.customer != nil {
		customer = j.customer.ID
	}
	e.parts.Log.Info("refused", "request", j.id, "customer", customer, "code", string(p.Code), "ran", string(p.Ran),
		"detail", p.Detail, "retry_after_ms", p.RetryAfter.Milliseconds(), "after_ms", steady.Since(j.arrived).Milliseconds())
	e.traces.add(j.id, Event{
		What:   "refused",
		Reason: string(p.Code) + ": " + p.Detail,
	})
}

// bearer is the scheme of the Authorization header.
const bearer = "Bearer "

// notReadyRetry is when a caller may retry at an instance without a configuration.
const notReadyRetry = 2 * time.Second

// identify sets the configuration of the job and finds the customer by the API key.
func (e *Entry) identify(r *http.Request, j *job) *problem.Error {
	j.view = e.parts.Configuration()
	if j.view == nil {
		return problem.Busy(problem.CodeNotReady, "there is no configuration yet", notReadyRetry)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if ok {
		j.customer, ok = j.view.Authenticate(key)
	}
	if !ok {
		p := problem.New(problem.CodeUnauthorized, http.StatusUnauthorized, "no customer has this key")
		p.Field = "Authorization"
		return p
	}
	return nil
}

// models lists the models and adapters.
func (e *Entry) models(w http.ResponseWriter, _ *http.Request, j *job) *problem.Error {
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{
		Object: "list",
	}
	add := func(id string) {
		list.Data = append(list.Data, entry{
			ID:     id,
			Object: "model",
			Owner:  "linkmast",
		})
	}
	for i := range j.view.File.Models {
		add(j.view.File.Models[i].ID)
	}
	for i := range j.view.File.Adapters {
		add(j.view.File.Adapters[i].ID)
	}
	wirehttp.JSON(w, http.StatusOK, list)
	return nil
}

// failer is a sink that can report an error to the caller after part of the answer.
type failer interface {
	sink
	fail(p *problem.Error)
}

// completion returns the handler of text or chat completions.
func (e *Entry) completion(chat bool) func(http.ResponseWriter, *http.Request, *job) *problem.Error {
	return func(w http.ResponseWriter, r *http.Request, j *job) *problem.Error {
		if fail := j.readHeaders(r.Header, false); fail != nil {
			return fail
		}
		data, fail := readBody(w, r, j.view.File.Limits.MaxBodyBytes)
		if fail != nil {
			return fail
		}
		j.setHistory(r, data)
		stream, fail := parseCompletion(data, chat, j)
		if fail != nil {
			return fail
		}
		j.hitRate = e.hitRates.expect(j.customer.ID, j.class())
		return e.runAdmitted(w, r, j, func(ctx context.Context, out Writer) *problem.Error {
			format := newResponseFormat(j.id, j.modelName(), chat)
			if !stream {
				return e.complete(ctx, j, newWholeSink(out, format))
			}
			sink := newStreamSink(out, format)
			fail := e.complete(ctx, j, sink)
			return e.failAfterStart(sink, fail)
		})
	}
}

// failAfterStart reports an error in the stream itself if part of the answer has been sent. It
// returns the error with status 0 then, and unchanged otherwise.
func (e *Entry) failAfterStart(s failer, p *problem.Error) *problem.Error {
	if p == nil || !s.started() {
		return p
	}
	e.metrics.add("cut", 1)
	s.fail(p)
	return &problem.Error{
		Code:   p.Code,
		Status: 0,
		Ran:    p.Ran,
		Detail: p.Detail,
	}
}

// runAdmitted runs f if the quarantine and the customer's quota admit the request. A request
// with an idempotency key runs at most once.
func (e *Entry) runAdmitted(w http.ResponseWriter, r *http.Request, j *job, f func(context.Context, Writer) *problem.Error) *problem.Error {
	e.traces.begin(j)
	release, fail := e.enterQuarantine(j)
	if fail != nil {
		return fail
	}
	defer release()
	ctx, cancel := context.WithTimeout(r.Context(), steady.Until(j.deadline))
	defer cancel()
	releaseQuota, refusal := e.parts.Borrower.Acquire(ctx, j.customer.ID, limit.Quota{
		Rate:        j.customer.RequestsPerSecond,
		Concurrency: j.customer.Concurrency,
	})
	if refusal != nil {
		return limitProblem(refusal)
	}
	defer releaseQuota()
	e.budget.earn()
	caller := newCallerWriter(w)
	if j.keyClaim != nil {
		return abortIfReported(e.once(ctx, j, caller, f))
	}
	return abortIfReported(f(ctx, caller))
}

// abortIfReported closes the connection if p has status 0. The caller has then received part of
// the answer and must not take it for complete. Other errors are returned unchanged.
func abortIfReported(p *problem.Error) *problem.Error {
	if p != nil && p.Status == 0 {
		panic(http.ErrAbortHandler)
	}
	return p
}

func limitProblem(r *limit.Refusal) *problem.Error {
	code, detail := problem.CodeRateLimited, "the customer's rate is used up"
	if r.Concurrency {
		code, detail = problem.CodeConcurrency, "the customer's requests in flight are used up"
	}
	p := problem.New(code, http.StatusTooManyRequests, detail)
	p.RetryAfter = max(r.RetryAfter, time.Millisecond)
	return p
}

// call serves a call of a plain service.
func (e *Entry) call(w http.ResponseWriter, r *http.Request, j *job) *problem.Error {
	j.service = r.PathValue("service")
	if e.fleet.size(j.group()) == 0 {
		return problem.New(problem.CodeNotFound, http.StatusNotFound, "there is no plain service of this name")
	}
	repeatable := r.Method == http.MethodGet || r.Method == http.MethodHead
	if fail := j.readHeaders(r.Header, !repeatable); fail != nil {
		return fail
	}
	data, fail := readBody(w, r, j.view.File.Limits.MaxBodyBytes)
	if fail != nil {
		return fail
	}
	j.setHistory(r, data)
	c := plain.Call{
		Request:     j.id,
		Method:      r.Method,
		Path:        strings.TrimPrefix(r.URL.RequestURI(), servicePath+j.service),
		ContentType: r.Header.Get("Content-Type"),
		Body:        data,
	}
	return e.runAdmitted(w, r, j, func(ctx context.Context, out Writer) *problem.Error {
		return e.callPlain(ctx, j, c, out)
	})
}
