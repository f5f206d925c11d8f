// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/claim"
	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/problem"
)

// Headers of requests and answers.
const (
	// HeaderDeadline sets the time allowed for the answer, as a duration such as "30s".
	HeaderDeadline = "Linkmast-Deadline"
	// HeaderTier requests a tier, which must not have a higher priority than the customer's
	// own.
	HeaderTier = "Linkmast-Tier"
	// HeaderOnce states whether the request must not be retried after it may have run, as a
	// boolean.
	HeaderOnce = "Linkmast-Once"
	// HeaderKey is the idempotency key of a request that must run at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderKeyValid is when the idempotency key expires, as in RFC 3339.
	HeaderKeyValid = "Linkmast-Key-Valid-Until"
	// HeaderRequest is the request's id in answers.
	HeaderRequest = "Linkmast-Request-Id"
)

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 255

// defaultOutput is the limit of output tokens for a request that sets none.
const defaultOutput = 256

// prefixBlocks is the number of leading blocks of the prefix cache whose hash identifies a
// prompt's prefix.
const prefixBlocks = 4

// completionBody holds the fields of an OpenAI completion request that are used here. All other
// fields are ignored.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
}

// message is a message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// A body has to arrive within bodyTimeout plus its declared length divided by bodyRate, in
// bytes per second.
const (
	bodyTimeout = 10 * time.Second
	bodyRate    = 1 << 20
)

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problem.Error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	size := max(r.ContentLength, 0)
	deadline := time.Now().Add(bodyTimeout + time.Duration(size)*time.Second/bodyRate)
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, problem.Bad("body", "can't be read: "+err.Error())
	}
	buf := make([]byte, 0, size+1)
	data, err := appendAll(buf, http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, problem.Bad("body", "did not arrive whole: "+err.Error())
	}
	// The deadline must not end the connection while the answer is written.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return data, nil
}

// appendAll appends the rest of r to b. It does not reallocate if the capacity of b exceeds the
// length of r.
func appendAll(b []byte, r io.Reader) ([]byte, error) {
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
	}
}

func tooLarge(limit int64) *problem.Error {
	p := problem.New(problem.CodeTooLarge, http.StatusRequestEntityTooLarge,
		"the body is above the limit of "+strconv.FormatInt(limit, 10)+" bytes")
	p.Field = "body"
	return p
}

// parseCompletion parses the body of a completion into a job. It returns whether the caller
// wants a stream.
func parseCompletion(data []byte, chat bool, j *job) (bool, *problem.Error) {
	var b completionBody
	if err := json.Unmarshal(data, &b); err != nil {
		return false, badJSON(err)
	}
	if fail := j.setModel(b.Model); fail != nil {
		return false, fail
	}
	prompt, fail := promptOf(&b, chat)
	if fail != nil {
		return false, fail
	}
	if fail := j.setOutput(&b); fail != nil {
		return false, fail
	}
	if b.N != nil && *b.N != 1 {
		return false, problem.Bad("n", "only one answer can be asked for")
	}
	return b.Stream, j.setPrompt(prompt)
}

// badJSON returns the problem of a body that can't be parsed, with the field at fault if it is
// known.
func badJSON(err error) *problem.Error {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) && typed.Field != "" {
		return problem.Bad(typed.Field, "must be "+typed.Type.String())
	}
	return problem.Bad("body", "is no JSON object: "+err.Error())
}

func (j *job) setModel(name string) *problem.Error {
	if name == "" {
		return problem.Bad("model", "is missing")
	}
	m, adapter, ok := j.view.Model(name)
	if !ok {
		p := problem.New(problem.CodeNotFound, http.StatusNotFound, "there is no model of this name")
		p.Field = "model"
		return p
	}
	j.model = m
	j.adapter = adapter
	return nil
}

func (j *job) setOutput(b *completionBody) *problem.Error {
	field, asked := "max_tokens", b.MaxTokens
	if b.MaxCompletionTokens != nil {
		field, asked = "max_completion_tokens", b.MaxCompletionTokens
	}
	j.output = min(defaultOutput, j.model.MaxOutputTokens)
	if asked == nil {
		return nil
	}
	if *asked < 1 || *asked > j.model.MaxOutputTokens {
		return problem.Bad(field, "must be 1 to "+strconv.Itoa(j.model.MaxOutputTokens))
	}
	j.output = *asked
	return nil
}

func (j *job) setPrompt(prompt string) *problem.Error {
	j.prompt = prompt
	j.promptTokens = engine.Tokens(len(prompt))
	if j.promptTokens > j.model.MaxPromptTokens {
		return problem.Bad("prompt", "has "+strconv.Itoa(j.promptTokens)+" tokens, the model takes "+
			strconv.Itoa(j.model.MaxPromptTokens))
	}
	if blocks := engine.BlockHashes(j.model.ID+"/"+j.adapter, prompt, prefixBlocks); len(blocks) > 0 {
		j.prefix = blocks[len(blocks)-1]
	}
	return nil
}

// promptOf returns the prompt of a text completion, or the messages of a chat completion as one
// text.
func promptOf(b *completionBody, chat bool) (string, *problem.Error) {
	if !chat {
		return textPrompt(b.Prompt)
	}
	if len(b.Messages) == 0 {
		return "", problem.Bad("messages", "is missing or empty")
	}
	var out strings.Builder
	for i, m := range b.Messages {
		text, fail := contentOf(m.Content)
		if fail != nil {
			fail.Field = "messages[" + strconv.Itoa(i) + "].content"
			return "", fail
		}
		out.WriteString(m.Role)
		out.WriteString(": ")
		out.WriteString(text)
		out.WriteByte('\n')
	}
	return out.String(), nil
}

// textPrompt returns the prompt of a text completion, which is a string or a list of one string.
func textPrompt(raw json.RawMessage) (string, *problem.Error) {
	var one string
	if err := json.Unmarshal(raw, &one); err == nil && one != "" {
		return one, nil
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", problem.Bad("prompt", "must be one text that is not empty")
}

// contentOf returns the text of a chat message, whose content is a string or a list of parts of
// type text.
func contentOf(raw json.RawMessage) (string, *problem.Error) {
	var one string
	if err := json.Unmarshal(raw, &one); err == nil {
		return one, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", problem.Bad("content", "must be a text or a list of texts")
	}
	var out strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", problem.Bad("content", "parts of type "+strconv.Quote(p.Type)+" are not served")
		}
		out.WriteString(p.Text)
	}
	return out.String(), nil
}

// readHeaders sets the deadline, the tier, whether the request may be retried after it may have
// run, and the claim on its idempotency key. OnceByDefault applies if no header decides on
// retries.
func (j *job) readHeaders(h http.Header, onceByDefault bool) *problem.Error {
	limits := &j.view.File.Limits
	within := time.Duration(limits.DefaultDeadline)
	if v := h.Get(HeaderDeadline); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 || d > time.Duration(limits.MaxDeadline) {
			return problem.Bad(HeaderDeadline, "must be a duration above zero and up to "+
				time.Duration(limits.MaxDeadline).String())
		}
		within = d
	}
	j.deadline = j.arrived.Add(within)
	if fail := j.readTier(h.Get(HeaderTier)); fail != nil {
		return fail
	}
	return j.readOnce(h, onceByDefault, limits)
}

func (j *job) readTier(name string) *problem.Error {
	bought, ok := j.view.Tier(j.customer.Tier)
	if !ok {
		return problem.New(problem.CodeInternal, http.StatusInternalServerError, "the customer's tier is unknown")
	}
	j.tier = bought
	if name == "" {
		return nil
	}
	asked, ok := j.view.Tier(name)
	if !ok {
		return problem.Bad(HeaderTier, "there is no tier of this name")
	}
	if asked.Rank < bought.Rank {
		p := problem.New(problem.CodeForbidden, http.StatusForbidden, "the customer did not buy this tier")
		p.Field = HeaderTier
		return p
	}
	j.tier = asked
	return nil
}

func (j *job) readOnce(h http.Header, onceByDefault bool, limits *config.Limits) *problem.Error {
	j.once = onceByDefault
	if v := h.Get(HeaderOnce); v != "" {
		once, err := strconv.ParseBool(v)
		if err != nil {
			return problem.Bad(HeaderOnce, "must be true or false")
		}
		j.once = once
	}
	key, until := h.Get(HeaderKey), h.Get(HeaderKeyValid)
	switch {
	case key == "" && until == "":
		return nil
	case key == "" || len(key) > maxKeyBytes:
		return problem.Bad(HeaderKey, "must have 1 to "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	j.once = true
	valid := j.arrived.Add(time.Duration(limits.MaxKeyValidity))
	if until != "" {
		v, err := time.Parse(time.RFC3339, until)
		if err != nil {
			return problem.Bad(HeaderKeyValid, "must be a time as in RFC 3339")
		}
		if v.After(valid.Add(time.Duration(limits.ClockBound))) {
			return problem.Bad(HeaderKeyValid, "must be at most "+
				time.Duration(limits.MaxKeyValidity).String()+" ahead")
		}
		valid = v
	}
	if !valid.After(j.arrived.Add(time.Duration(limits.ClockBound))) {
		p := problem.New(problem.CodeKeyExpired, http.StatusGone, "the key's validity has ended, or ends too soon to be sure")
		p.Field = HeaderKeyValid
		return p
	}
	j.keyClaim = &claim.Claim{
		Key:        claim.KeyOf(j.customer.ID, key),
		Request:    j.id,
		ValidUntil: valid,
	}
	return nil
}
