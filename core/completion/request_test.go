package completion_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"cicadabeam/core/completion"
)

func TestParseRejectsUnsupportedRequests(t *testing.T) {
	bodies := map[string]string{
		``:                                    "not a JSON object",
		`[]`:                                  "not a JSON object",
		`{"messages":[{"content":"x"}]}`:      "model is missing",
		`{"model":"m"}`:                       "messages is missing",
		`{"model":"m","messages":"x"}`:        "messages must be an array, not string",
		`{"model":"m","messages":[{}],"n":2}`: "n and best_of",
		`{"model":"m","messages":[{}],"logprobs":true}`:                          "logprobs",
		`{"model":"m","messages":[{}],"tools":[{}]}`:                             "tools",
		`{"model":"m","messages":[{}],"response_format":{"type":"json_object"}}`: "response_format",
		`{"model":"m","messages":[{}],"max_tokens":0}`:                           "max_tokens",
	}
	for body, want := range bodies {
		_, err := completion.Parse(completion.ChatPath, []byte(body))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v; want one that contains %q", body, err, want)
		}
	}
	if _, err := completion.Parse(completion.TextPath, []byte(`{"model":"m","prompt":[1,2]}`)); err == nil {
		t.Error("a prompt of token IDs was accepted")
	}
}

// TestResume checks that the resumed request contains the generated text, has the
// remaining number of tokens as its maximum and keeps the other fields.
func TestResume(t *testing.T) {
	r, err := completion.Parse(completion.ChatPath, []byte(`{"model":"m","messages":[{"role":"user","content":"q"}],"max_completion_tokens":10,"stop":["END"],"seed":7}`))
	if err != nil {
		t.Fatal(err)
	}
	body, err := r.ResumeBody("so far \"", 4, 2)
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Messages []struct{ Role, Content string } `json:"messages"`
		Max      int                              `json:"max_completion_tokens"`
		Continue bool                             `json:"continue_final_message"`
		Stream   bool                             `json:"stream"`
		Stop     []string                         `json:"stop"`
		Seed     int                              `json:"seed"`
		Priority int                              `json:"priority"`
	}
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Messages) != 2 || got.Messages[1].Role != "assistant" || got.Messages[1].Content != "so far \"" {
		t.Fatalf("messages %+v", got.Messages)
	}
	if got.Max != 6 || !got.Continue || !got.Stream || got.Stop[0] != "END" || got.Seed != 7 || got.Priority != 2 {
		t.Fatalf("%+v", got)
	}
	if r.ReachedMaxTokens(9) || !r.ReachedMaxTokens(10) {
		t.Fatal("ReachedMaxTokens must be false for 9 tokens and true for 10")
	}
}

// FuzzParse checks that each request that Parse accepts can be resumed, and that Parse
// accepts the resumed request while tokens remain.
func FuzzParse(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"q"}]}`, "text")
	f.Add(`{"model":"m","messages":[null],"stop":null}`, "\x00")
	f.Add(`{"model":"m","messages":[{"content":[{"type":"text"}]}],"max_tokens":1e3}`, "é")
	f.Fuzz(func(t *testing.T, body, text string) {
		r, err := completion.Parse(completion.ChatPath, []byte(body))
		if err != nil {
			return
		}
		next, err := r.ResumeBody(text, 1, 0)
		if err != nil {
			t.Fatalf("an accepted request can't be resumed: %v", err)
		}
		if _, err := completion.Parse(completion.ChatPath, next); err != nil && !r.ReachedMaxTokens(1) {
			t.Fatalf("ResumeBody returned a request that Parse rejects: %v", err)
		}
	})
}

func TestMessagesBeforeTheLastOneAreShared(t *testing.T) {
	long := make([]string, 40)
	for i := range long {
		long[i] = fmt.Sprintf(`{"role":"user","content":"%d"}`, i)
	}
	bodies := map[string]int{
		`{"model":"m","messages":[{"role":"user","content":"q"}]}`:                                          0,
		`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"q"}]}`:          1,
		`{"model":"m","messages":[{"role":"system", "content": "s"},{"role":"user"},{"role":"assistant"}]}`: 2,
		`{"model":"m","messages":[` + strings.Join(long, ",") + `]}`:                                        14,
	}
	got := make(map[int][]string)
	for body, want := range bodies {
		r, err := completion.Parse(completion.ChatPath, []byte(body))
		if err != nil {
			t.Fatal(err)
		}
		got[want] = r.SharedMessages()
		if len(got[want]) != want {
			t.Errorf("%s: got %d messages, want %d", body, len(got[want]), want)
		}
	}
	if got[1][0] != got[2][0] {
		t.Error("white space changes the hash of a message")
	}
	r, err := completion.Parse(completion.TextPath, []byte(`{"model":"m","prompt":"p"}`))
	if err != nil || len(r.SharedMessages()) > 0 {
		t.Errorf("a text completion has shared messages %v, error %v", r.SharedMessages(), err)
	}
}
