package load

import (
	"encoding/json"
	"strings"

	"plantainfield.example/standins/engine"
	"plantainfield.example/standins/service"
)

// answerText is what an engine says to a request with a nonce.
func answerText(nonce string, tokens int64) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(engine.TokenText(nonce, n))
	}
	return b.String()
}

// judgeAnswer checks that an answer is the request's own, and whole if it
// says so.
func (j *judge) judgeAnswer(r *Record, s *Send) {
	res := &s.Result
	switch {
	case r.Service && res.Whole:
		var answer service.LookupResponse
		if json.Unmarshal([]byte(res.Text), &answer) != nil || answer.Nonce != r.Nonce {
			note(&j.findings.OwnAnswer, "call %s got another answer: %.80q", r.Key, res.Text)
		}
	case r.Service:
	case res.Whole:
		text := res.Text
		if !res.Streamed {
			text = contentOf(text)
		}
		if text != answerText(r.Nonce, r.OutputTokens) || res.Usage.CompletionTokens != r.OutputTokens {
			note(&j.findings.OwnAnswer, "request %s got a whole answer of %d tokens that is not its own or not whole: %.80q", r.Key, res.Usage.CompletionTokens, text)
		}
	case res.Streamed:
		if !strings.HasPrefix(answerText(r.Nonce, r.OutputTokens), res.Text) {
			note(&j.findings.OwnAnswer, "request %s got tokens that are not its own: %.80q", r.Key, res.Text)
		}
	}
}

// contentOf is the message of a chat completion.
func contentOf(raw string) string {
	var whole struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(raw), &whole) != nil || len(whole.Choices) != 1 {
		return ""
	}
	return whole.Choices[0].Message.Content
}
