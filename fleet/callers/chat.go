package callers

import (
	"encoding/json"
	"net/http"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/fleet/settings"
)

// chatRequest holds the fields of a chat completion request that the router
// reads.
type chatRequest struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
	Priority            int               `json:"priority"`
}

// rawFields holds the top-level fields of a request body as unparsed JSON.
type rawFields map[string]json.RawMessage

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	c, err := s.authenticate(r)
	if err != nil {
		apierror.WriteError(w, err)
		return
	}
	body, err := s.readBody(w, r, settings.ChatCopies)
	if err != nil {
		apierror.WriteError(w, err)
		return
	}
	x, err := s.newChatExchange(w, r, c, body)
	if err != nil {
		apierror.WriteError(w, err)
		return
	}
	x.run()
}

// newChatExchange validates the request and builds the body to send to the
// engine.
func (s *Server) newChatExchange(w http.ResponseWriter, r *http.Request, c caller, body []byte) (*exchange, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, apierror.New(errkind.InvalidRequest, "the body is not a chat completion request: "+err.Error())
	}
	if len(req.Messages) == 0 {
		return nil, apierror.New(errkind.InvalidRequest, "messages must not be empty")
	}
	if err := checkCostBounded(body, req.Messages); err != nil {
		return nil, err
	}
	model := c.index.Model(req.Model)
	if model == nil {
		return nil, apierror.New(s.denial(errkind.UnknownModel), "")
	}
	output, err := maxOutputTokens(req, model)
	if err != nil {
		return nil, err
	}
	targetBody, err := engineBody(body, output)
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(r)
	if err != nil {
		return nil, err
	}
	wait, err := deadline(r)
	if err != nil {
		return nil, err
	}
	x := s.newExchange(w, r, body, targetBody)
	x.streamed = req.Stream
	x.arrival = event.RequestArrived{
		Customer: c.Customer, Budget: c.Budget, Key: key, BodyHash: bodyHash(body),
		Kind: event.KindModel, Serves: model.Name,
		Idempotent:      r.Header.Get(headerNonIdempotent) == "",
		WorstCaseTokens: maxPromptTokens(body, req.Messages) + output,
		PrefixHashes:    engine.PrefixHashes(req.Messages),
		Priority:        req.Priority,
		Deadline:        wait,
	}
	return x, s.checkHandedOver(r, &x.arrival)
}

// maxOutputTokens returns the maximum output length of the request, in tokens.
func maxOutputTokens(req chatRequest, model *config.Model) (int64, error) {
	output := model.MaxOutputTokens
	if req.MaxTokens != nil {
		output = *req.MaxTokens
	}
	if req.MaxCompletionTokens != nil {
		output = *req.MaxCompletionTokens
	}
	if output < 1 || output > model.MaxOutputTokens {
		return 0, apierror.New(errkind.InvalidRequest, "max_tokens is out of the model's range")
	}
	return output, nil
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// engineBody returns the request body for the engine: always streamed, with
// usage reporting, and limited to the output length that was reserved.
func engineBody(body []byte, output int64) ([]byte, error) {
	fields := rawFields{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, apierror.New(errkind.InvalidRequest, err.Error())
	}
	delete(fields, "max_completion_tokens")
	fields["stream"] = json.RawMessage("true")
	for name, v := range map[string]any{"stream_options": streamOptions{IncludeUsage: true}, "max_tokens": output} {
		raw, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		fields[name] = raw
	}
	return json.Marshal(fields)
}
