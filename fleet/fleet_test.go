// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/standin"
)

// fastEngines configures engines whose prefill and decode take little real time.
func fastEngines() standin.EngineSettings {
	return standin.EngineSettings{
		PrefillTokensPerSecond: 4_000_000,
		ChunkTokens:            20_000,
		DecodeStep:             time.Millisecond,
	}
}

// startFleet starts a fleet, with fast engines by default, and closes it when the
// test ends.
func startFleet(t *testing.T, s Settings) *Fleet {
	t.Helper()
	if s.Engine.DecodeStep == 0 {
		s.Engine = fastEngines()
	}
	f, err := Start(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// prompt returns a prompt of n tokens that begins with name.
func prompt(name string, n int) string {
	return name + strings.Repeat("abcdefgh", n/2)[:n*4-len(name)]
}

// post sends body as JSON and returns the response and its complete body.
func post(t *testing.T, url, key string, body any) (*http.Response, []byte) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, out
}

// answerText returns the text of a completion in JSON.
func answerText(t testing.TB, data []byte) string {
	t.Helper()
	var a struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &a); err != nil || len(a.Choices) != 1 {
		t.Fatalf("body is not a completion: %s", data)
	}
	return a.Choices[0].Text
}

// streamedText returns the text of a streamed completion, and whether its end marker
// was received.
func streamedText(t testing.TB, data []byte) (string, bool) {
	t.Helper()
	var text strings.Builder
	for _, line := range strings.Split(string(data), "\n") {
		event, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			return text.String(), true
		}
		text.WriteString(answerText(t, []byte(event)))
	}
	return text.String(), false
}

// TestEndToEnd sends completions of all sizes and a call of a plain service over
// loopback connections. It guards against wrong answers and leaked memory.
func TestEndToEnd(t *testing.T) {
	f := startFleet(t, Settings{})
	for _, tokens := range []int{1_000, 30_000, 200_000, 1_000_000} {
		t.Run("whole "+formatTokens(tokens), func(t *testing.T) {
			is := is.New(t)
			p := prompt("whole", tokens)
			res, data := post(t, "http://"+f.Nodes[0].Listen+"/v1/completions", "key-desk", map[string]any{
				"model":      Model,
				"prompt":     p,
				"max_tokens": 20,
			})
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(answerText(t, data), standin.Answer(p, 20))
		})
		t.Run("stream "+formatTokens(tokens), func(t *testing.T) {
			is := is.New(t)
			p := prompt("stream", tokens)
			res, data := post(t, "http://"+f.Nodes[1].Listen+"/v1/completions", "key-office", map[string]any{
				"model":      Model,
				"prompt":     p,
				"max_tokens": 20,
				"stream":     true,
			})
			is.Equal(res.StatusCode, http.StatusOK)
			text, complete := streamedText(t, data)
			is.True(complete)
			is.Equal(text, standin.Answer(p, 20))
		})
	}
	t.Run("plain call", func(t *testing.T) {
		is := is.New(t)
		res, data := post(t, "http://"+f.Nodes[2].Listen+"/services/lots/bids?lot=7", "key-desk", map[string]any{
			"bid": 12,
		})
		is.Equal(res.StatusCode, http.StatusOK)
		var echo standin.Echo
		is.NoErr(json.Unmarshal(data, &echo))
		is.Equal(echo.Path, "/bids?lot=7")
	})
	t.Run("memory is released", func(t *testing.T) {
		is := is.New(t)
		is.Equal(f.WaitMemoryReleased(10*time.Second), int64(0))
	})
}

// formatTokens formats a number of tokens for the name of a subtest.
func formatTokens(n int) string {
	if n >= 1_000_000 {
		return "1M"
	}
	return string(rune('0'+n/100_000%10)) + string(rune('0'+n/10_000%10)) + string(rune('0'+n/1000%10)) + "k"
}
