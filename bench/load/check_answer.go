package load

import (
	"encoding/json"
	"strings"

	"plantainfield.example/standins/engine"
	"plantainfield.example/standins/service"
)

// expectedText returns the first tokens of a stand-in engine's answer to a request
// with this nonce.
func expectedText(nonce string, tokens int64) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(engine.TokenText(nonce, n))
	}
	return b.String()
}

// checkAnswer checks that an answer belongs to the request and that an answer
// with an end marker is complete.
func (c *checker) checkAnswer(r *Record, s *Send) {
	res := &s.Result
	switch {
	case r.Service && res.Complete:
		var answer service.LookupResponse
		if json.Unmarshal([]byte(res.Text), &answer) != nil || answer.Nonce != r.Nonce {
			addFinding(&c.findings.WrongAnswer, "service call %s received the answer to another call: %.80q", r.Key, res.Text)
		}
	case r.Service:
	case res.Complete:
		text := res.Text
		if !res.Streamed {
			text = messageContent(text)
		}
		if text != expectedText(r.Nonce, r.OutputTokens) || res.Usage.CompletionTokens != r.OutputTokens {
			addFinding(&c.findings.WrongAnswer, "request %s received an answer of %d tokens that ended normally but belongs to another request or is incomplete: %.80q", r.Key, res.Usage.CompletionTokens, text)
		}
	case res.Streamed:
		if !strings.HasPrefix(expectedText(r.Nonce, r.OutputTokens), res.Text) {
			addFinding(&c.findings.WrongAnswer, "request %s received tokens of another request: %.80q", r.Key, res.Text)
		}
	}
}

// messageContent returns the text of a chat completion that was not streamed, or
// an empty string.
func messageContent(raw string) string {
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(raw), &completion) != nil || len(completion.Choices) != 1 {
		return ""
	}
	return completion.Choices[0].Message.Content
}
