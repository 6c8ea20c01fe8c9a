package callers

import (
	"encoding/json"
	"fmt"

	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/apierror"
)

// tokensPerMessage bounds the tokens that a chat template adds per message.
const tokensPerMessage = 16

// maxPromptTokens returns an upper bound of the prompt's length in tokens.
// Everything that the model reads (messages, tools, response format) is in the
// body, a token has at least one byte, and a chat template adds a bounded
// number of tokens per message.
func maxPromptTokens(body []byte, messages []json.RawMessage) int64 {
	return int64(len(body)) + tokensPerMessage*int64(len(messages))
}

// unboundedFields lists request fields that multiply the work of a request or
// add content to its prompt that is not in the body. Only the allowed JSON
// value, or null, is accepted.
var unboundedFields = []struct{ name, allowed string }{
	{"n", "1"},
	{"best_of", "1"},
	{"use_beam_search", "false"},
	{"chat_template", "null"},
	{"prompt_embeds", "null"},
}

// contentPart is one part of a message's content; only its type matters here.
type contentPart struct {
	Type string `json:"type"`
}

// checkCostBounded rejects a request whose token consumption cannot be bounded
// in advance, because then no reservation could cover it.
func checkCostBounded(body []byte, messages []json.RawMessage) error {
	fields := rawFields{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return apierror.New(errkind.InvalidRequest, err.Error())
	}
	for _, f := range unboundedFields {
		if v, ok := fields[f.name]; ok && string(v) != f.allowed && string(v) != "null" {
			return apierror.New(errkind.InvalidRequest, fmt.Sprintf("%s must be %s: its cost can't be bounded", f.name, f.allowed))
		}
	}
	for i, m := range messages {
		if !hasTextContentOnly(m) {
			return apierror.New(errkind.InvalidRequest, fmt.Sprintf("messages[%d] must have text content only: the cost of other content can't be bounded", i))
		}
	}
	return nil
}

// hasTextContentOnly reports whether a message's content is a string, absent,
// or a list of text and refusal parts.
func hasTextContentOnly(message json.RawMessage) bool {
	var m struct {
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(message, &m) != nil {
		return false
	}
	if len(m.Content) == 0 || m.Content[0] != '[' {
		return len(m.Content) == 0 || m.Content[0] == '"' || string(m.Content) == "null"
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return false
	}
	for _, p := range parts {
		if p.Type != "text" && p.Type != "refusal" {
			return false
		}
	}
	return true
}
