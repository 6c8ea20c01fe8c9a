package callers

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"plantainfield.example/core/event"
	"plantainfield.example/fleet/engine"
)

// chatResponse collects a chat response: as text for a caller that did not
// request a stream, or as SSE events so that a streamed response can be
// replayed.
type chatResponse struct {
	text         strings.Builder
	finishReason string
	created      int64
	// events holds at most maxRecordedBodyBytes; truncated is set when more
	// events arrive.
	events    bytes.Buffer
	truncated bool
}

// appendChunk adds one chunk of a response that is not streamed to the caller.
func (c *chatResponse) appendChunk(data []byte) error {
	var chunk engine.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errMalformed
	}
	c.created = chunk.Created
	for _, choice := range chunk.Choices {
		c.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			c.finishReason = *choice.FinishReason
		}
	}
	return nil
}

// recordEvent appends one SSE event to the recording used for replay.
func (c *chatResponse) recordEvent(data []byte) {
	if c.truncated || c.events.Len()+len(data) > maxRecordedBodyBytes {
		c.truncated = true
		return
	}
	c.events.WriteString("data: ")
	c.events.Write(data)
	c.events.WriteString("\n\n")
}

// recordForReplay records a frame if the request is not idempotent.
func (a *chatAttempt) recordForReplay(data []byte) {
	if !a.exchange.arrival.Idempotent {
		a.response.recordEvent(data)
	}
}

var doneMarker = []byte("[DONE]")

// prepareFinal sets up the last part of the response, which is sent on
// ReleaseAnswer.
func (a *chatAttempt) prepareFinal(usageFrame []byte) {
	out := &a.exchange.out
	if !a.exchange.streamed {
		a.exchange.sendFinal = func() { out.writeResponse(http.StatusOK, jsonType, marshal(a.completion())) }
		return
	}
	a.recordForReplay(usageFrame)
	a.recordForReplay(doneMarker)
	a.exchange.sendFinal = func() {
		out.startStream()
		out.writeEvent(usageFrame)
		out.writeEvent(doneMarker)
		out.flush()
	}
}

// recordedAnswer returns the complete response for replay.
func (a *chatAttempt) recordedAnswer() *event.RecordedAnswer {
	if !a.exchange.streamed {
		return newRecordedAnswer(http.StatusOK, jsonType, marshal(a.completion()))
	}
	if a.response.truncated {
		return &event.RecordedAnswer{Status: http.StatusOK, ContentType: streamType, Truncated: true}
	}
	return newRecordedAnswer(http.StatusOK, streamType, a.response.events.Bytes())
}

const (
	jsonType   = "application/json"
	streamType = "text/event-stream"
)

// chatCompletion is the JSON body of a response that is not streamed.
type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *engine.Usage      `json:"usage"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      engine.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

func (a *chatAttempt) completion() chatCompletion {
	return chatCompletion{
		ID: a.dispatch.Attempt, Object: "chat.completion", Created: a.response.created, Model: a.exchange.arrival.Serves, Usage: a.usage,
		Choices: []completionChoice{{Message: engine.Message{Role: "assistant", Content: a.response.text.String()}, FinishReason: a.response.finishReason}},
	}
}

func marshal(v any) []byte {
	raw, _ := json.Marshal(v)
	return raw
}
